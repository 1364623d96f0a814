package reference

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

const manifestIntro = `## Manifest

A JSON document of at most 1 MiB. ` + "`examples/muscat.json`" + ` and
` + "`examples/perinka.json`" + ` are examples. Changing the shards or the key source of a
service moves its keys to other targets; ` + "`jackdawctl`" + ` shows such effects before a
change is applied.

A request is refused as not run if HTTP servers could interpret its path or its key
differently, since a request that must not be repeated could then be taken for an
idempotent one:

- Paths with empty, ` + "`.`" + ` or ` + "`..`" + ` segments, an escaped slash, a backslash, a raw
  semicolon or an invalid escape. A trailing slash is allowed. Keys that contain
  slashes must be sent in the query or a header.
- Keys that are given more than once, and key queries with a semicolon or an
  invalid escape.

`

// sampleManifest is a valid manifest in which fields are replaced by invalid examples.
const sampleManifest = `{"schema": 1, "name": "muscat", "services": [{
  "name": "display", "path_prefix": "/display", "shards": 1024,
  "key": {"from": "query", "name": "id"},
  "classes": [{"name": "read", "methods": ["GET"], "path_prefix": "/v1", "repeat": "idempotent",
    "deadline_ms": 500, "objective": {"latency_ms": 50, "ratio": 0.999}}],
  "targets": [{"name": "display-01", "address": "127.0.0.1:9100", "domain": "a", "slots": 3,
    "connections": 110, "checks_grants": true}]}]}`

// fieldDoc documents one field. invalidExample is the JSON of a rejected value.
type fieldDoc struct {
	path           string
	description    string
	unit           string
	defaultValue   string
	validRange     string
	invalidExample string
}

const (
	required  = "required"
	nameRange = "1 to 63 of a-z, 0-9, `.`, `_` and `-`, with a letter or digit at both ends"
)

func upTo(upper int) string { return fmt.Sprintf("1 to %d", upper) }

var fields = []fieldDoc{
	{"schema", "Version of the manifest format.", "number", required, fmt.Sprint(manifest.Schema), `2`},
	{"name", "Name of the deployment.", "name", required, nameRange, `"Muscat"`},
	{"services", "The keyed services.", "list", required, upTo(manifest.MaxServices) + " entries", `[]`},

	{"services[].name", "Name of the service, unique in the manifest.", "name", required, nameRange, `""`},
	{"services[].path_prefix", "Requests whose path equals it or lies below it belong to the service.", "path", required,
		"literal path without a trailing `/`; does not overlap the prefix of another service", `"display"`},
	{"services[].shards", "Number of shards of the key space, which are assigned to targets. More shards spread load more evenly and make the table larger.",
		"number", fmt.Sprint(manifest.DefaultShards), upTo(manifest.MaxShards) + ", at least the number of targets; 0 means the default", `70000`},
	{"services[].key", "Location of the key in a request.", "object", required, "", `"path"`},
	{"services[].key.from", "Part of the request that holds the key.", "word", required, "`path`, `query` or `header`", `"body"`},
	{"services[].key.segment", "Path keys: position of the segment after the service's prefix, from 0.", "number", "0", "0 to 15; with `from` = `path` only", `1`},
	{"services[].key.name", "Query and header keys: name of the parameter or header.", "name", "required for query and header", "1 to 64 characters of an HTTP token; not `Jackdawloom-*`", `"a b"`},
	{"services[].classes", "Request classes. The first that matches applies; a request that matches none is refused as not run.", "list", required, upTo(manifest.MaxClasses) + " entries", `[]`},
	{"services[].targets", "The processes that serve the service's keys.", "list", required, upTo(manifest.MaxTargets) + " entries", `[]`},

	{"services[].classes[].name", "Name of the class, unique in the service.", "name", required, nameRange, `"Read"`},
	{"services[].classes[].methods", "Methods that the class matches.", "list of methods", "all methods", fmt.Sprintf("at most %d, upper case", manifest.MaxMethods), `"GET"`},
	{"services[].classes[].path_prefix", "Path, after the service's prefix, that the class matches, including everything below it.", "path", "all paths", "literal path without a trailing `/`; ends before the segment of a path key", `"/v1/"`},
	{"services[].classes[].repeat", "Whether a request may run more than once. `never`: it is sent again only after proof that it did not run.", "word", required, "`idempotent` or `never`", `"always"`},
	{"services[].classes[].deadline_ms", "Time limit from receipt to response, after which the request is abandoned. Moves wait for running requests, so targets that do not check grants meet the recovery time of 2 s only with deadlines below about 1 s.", "ms", required, upTo(manifest.MaxDeadlineMs), `0`},
	{"services[].classes[].objective", "Service-level objective that the burn report is computed from.", "object", required, "", `{}`},
	{"services[].classes[].objective.latency_ms", "A request counts as good if a target responds without a server error within this time.", "ms", required, "1 to the class's deadline", `501`},
	{"services[].classes[].objective.ratio", "Fraction of the requests that must be good.", "ratio", required, "above 0 and below 1", `1`},

	{"services[].targets[].name", "Name of the target, unique in the service.", "name", required, nameRange, `"display 01"`},
	{"services[].targets[].address", "Address of the target's HTTP server, unique in the manifest.", "ip:port", required, "IP address of a host, port 1 to 65535", `"localhost:9100"`},
	{"services[].targets[].domain", "Failure domain of the target.", "name", required, nameRange, `""`},
	{"services[].targets[].slots", "Maximum number of requests that run at the target at the same time.", "requests", required, upTo(manifest.MaxSlots), `0`},
	{"services[].targets[].connections", "Maximum number of connections to the target.", "connections", required, upTo(manifest.MaxConnections) + "; at least `slots`, and one more if the target checks grants", `3`},
	{"services[].targets[].checks_grants", "Whether the target refuses requests that its current grant does not cover.", "boolean", "false", "", `"yes"`},
	{"services[].targets[].drain", "Whether to drain the target, that is, to move everything away from it.", "boolean", "false", "not set on every target of a service", `1`},
}

func writeManifest(b *strings.Builder) error {
	b.WriteString(manifestIntro)
	tableHeader(b, "Field", "Meaning", "Unit", "Default", "Range", "Error")
	for _, f := range fields {
		text, err := f.errorExample()
		if err != nil {
			return err
		}
		tableRow(b, code(f.path), f.description, f.unit, f.defaultValue, f.validRange, text)
	}
	b.WriteString("\n")
	return nil
}

// errorExample returns the invalid example with the error that the parser reports for
// it.
func (f fieldDoc) errorExample() (string, error) {
	var document any
	if err := json.Unmarshal([]byte(sampleManifest), &document); err != nil {
		return "", fmt.Errorf("sample manifest: %w", err)
	}
	setValue(document, strings.Split(f.path, "."), json.RawMessage(f.invalidExample))
	changed, err := json.Marshal(document)
	if err != nil {
		return "", fmt.Errorf("example for %s: %w", f.path, err)
	}
	_, err = manifest.Parse("", changed)
	path := strings.ReplaceAll(f.path, "[]", "[0]")
	section, key := "", path
	if i := strings.LastIndexByte(path, '.'); i >= 0 {
		section, key = path[:i], path[i+1:]
	}
	text, err := findProblem(err, section, key)
	if err != nil {
		return "", err
	}
	return code(f.invalidExample) + ": " + text, nil
}

// setValue sets the value at the path. In a path, name[] is the first entry of a list.
func setValue(node any, path []string, value json.RawMessage) {
	object := node.(map[string]any)
	name, isList := strings.CutSuffix(path[0], "[]")
	if len(path) == 1 {
		object[name] = value
		return
	}
	child := object[name]
	if isList {
		child = child.([]any)[0]
	}
	setValue(child, path[1:], value)
}
