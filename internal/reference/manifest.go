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

A request is refused as not run if servers could disagree about its path or its
key, since a never-repeat request could then pass for an idempotent one:

- Paths with empty, ` + "`.`" + ` or ` + "`..`" + ` segments, an escaped slash, a backslash, a raw
  semicolon or an invalid escape. A slash at the end is allowed. Keys that contain
  slashes go into the query or a header.
- Keys that are given more than once, and key queries with a semicolon or an
  invalid escape.

`

// sample is a valid manifest into which the wrong values are put.
const sample = `{"schema": 1, "name": "muscat", "services": [{
  "name": "display", "path_prefix": "/display", "shards": 1024,
  "key": {"from": "query", "name": "id"},
  "classes": [{"name": "read", "methods": ["GET"], "path_prefix": "/v1", "repeat": "idempotent",
    "deadline_ms": 500, "objective": {"latency_ms": 50, "ratio": 0.999}}],
  "targets": [{"name": "display-01", "address": "127.0.0.1:9100", "domain": "a", "slots": 3,
    "connections": 110, "checks_grants": true}]}]}`

// fieldDoc documents one field. wrong is the JSON of a value that is refused.
type fieldDoc struct {
	path    string
	meaning string
	unit    string
	preset  string
	limits  string
	wrong   string
}

const (
	required  = "required"
	nameRange = "1 to 63 of a-z, 0-9, `.`, `_` and `-`, with a letter or digit at both ends"
)

func upTo(most int) string { return fmt.Sprintf("1 to %d", most) }

var fields = []fieldDoc{
	{"schema", "Version of the manifest's form.", "number", required, fmt.Sprint(manifest.Schema), `2`},
	{"name", "Name of the deployment.", "name", required, nameRange, `"Muscat"`},
	{"services", "The keyed services.", "list", required, upTo(manifest.MaxServices) + " entries", `[]`},

	{"services[].name", "Name of the service, unique in the manifest.", "name", required, nameRange, `""`},
	{"services[].path_prefix", "Requests whose path equals it or lies below it belong to the service.", "path", required,
		"literal path without a `/` at the end; overlaps no other service's prefix", `"display"`},
	{"services[].shards", "Number of parts of the key space that are assigned to targets. More shards spread load more evenly and make the table larger.",
		"number", fmt.Sprint(manifest.DefaultShards), upTo(manifest.MaxShards) + ", at least the number of targets; 0 means the default", `70000`},
	{"services[].key", "Where the key stands in a request.", "object", required, "", `"path"`},
	{"services[].key.from", "Part of the request that holds the key.", "word", required, "`path`, `query` or `header`", `"body"`},
	{"services[].key.segment", "Path keys: position of the segment after the service's prefix, from 0.", "number", "0", "0 to 15; with `from` = `path` only", `1`},
	{"services[].key.name", "Query and header keys: name of the parameter or header.", "name", "required for query and header", "1 to 64 characters of an HTTP token; not `Jackdawloom-*`", `"a b"`},
	{"services[].classes", "Request classes. The first that matches applies; a request that matches none is refused as not run.", "list", required, upTo(manifest.MaxClasses) + " entries", `[]`},
	{"services[].targets", "The processes that serve the service's keys.", "list", required, upTo(manifest.MaxTargets) + " entries", `[]`},

	{"services[].classes[].name", "Name of the class, unique in the service.", "name", required, nameRange, `"Read"`},
	{"services[].classes[].methods", "Methods that the class matches.", "list of methods", "all methods", fmt.Sprintf("at most %d, upper case", manifest.MaxMethods), `"GET"`},
	{"services[].classes[].path_prefix", "Path, after the service's prefix, that the class matches with everything below it.", "path", "all paths", "literal path without a `/` at the end; ends before the segment of a path key", `"/v1/"`},
	{"services[].classes[].repeat", "Whether a request may run more than once. `never`: it is sent again only after proof that it did not run.", "word", required, "`idempotent` or `never`", `"always"`},
	{"services[].classes[].deadline_ms", "Time from receipt to response, after which the request is given up. Moves wait for running requests, so targets that do not check grants meet the recovery time of 2 s only with deadlines below about 1 s.", "ms", required, upTo(manifest.MaxDeadlineMs), `0`},
	{"services[].classes[].objective", "Service-level objective that the burn report is computed from.", "object", required, "", `{}`},
	{"services[].classes[].objective.latency_ms", "A request counts as good if it is answered well within this time.", "ms", required, "1 to the class's deadline", `501`},
	{"services[].classes[].objective.ratio", "Part of the requests that must be good.", "ratio", required, "above 0 and below 1", `1`},

	{"services[].targets[].name", "Name of the target, unique in the service.", "name", required, nameRange, `"display 01"`},
	{"services[].targets[].address", "Address of the target's HTTP server, unique in the manifest.", "ip:port", required, "IP address of a host, port 1 to 65535", `"localhost:9100"`},
	{"services[].targets[].domain", "Failure domain of the target.", "name", required, nameRange, `""`},
	{"services[].targets[].slots", "Most requests that run at the target at once.", "requests", required, upTo(manifest.MaxSlots), `0`},
	{"services[].targets[].connections", "Most connections to the target.", "connections", required, upTo(manifest.MaxConnections) + "; at least `slots`, and one more if the target checks grants", `3`},
	{"services[].targets[].checks_grants", "Whether the target refuses requests that its current grant does not cover.", "boolean", "false", "", `"yes"`},
	{"services[].targets[].drain", "Move everything away from the target.", "boolean", "false", "not set on every target of a service", `1`},
}

func writeManifest(b *strings.Builder) error {
	b.WriteString(manifestIntro)
	head(b, "Field", "Meaning", "Unit", "Default", "Range", "Error")
	for _, f := range fields {
		text, err := f.problem()
		if err != nil {
			return err
		}
		row(b, code(f.path), f.meaning, f.unit, f.preset, f.limits, text)
	}
	b.WriteString("\n")
	return nil
}

// problem returns what the parser answers to the example of a wrong value.
func (f fieldDoc) problem() (string, error) {
	var document any
	if err := json.Unmarshal([]byte(sample), &document); err != nil {
		return "", fmt.Errorf("sample manifest: %w", err)
	}
	put(document, strings.Split(f.path, "."), json.RawMessage(f.wrong))
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
	text, err := problem(err, section, key)
	if err != nil {
		return "", err
	}
	return code(f.wrong) + ": " + text, nil
}

// put sets the value at the path; name[] stands for the first entry of a list.
func put(node any, path []string, value json.RawMessage) {
	object := node.(map[string]any)
	name, isList := strings.CutSuffix(path[0], "[]")
	if len(path) == 1 {
		object[name] = value
		return
	}
	next := object[name]
	if isList {
		next = next.([]any)[0]
	}
	put(next, path[1:], value)
}
