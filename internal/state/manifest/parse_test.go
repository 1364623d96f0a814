package manifest

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/finding"
)

const validManifest = `{
  "schema": 1,
  "name": "muscat",
  "services": [
    {
      "name": "display",
      "path_prefix": "/display",
      "key": {"from": "path", "segment": 0},
      "classes": [
        {"name": "read", "methods": ["GET", "HEAD"], "repeat": "idempotent",
         "deadline_ms": 500, "objective": {"latency_ms": 50, "ratio": 0.999}}
      ],
      "targets": [
        {"name": "display-01", "address": "127.0.0.1:9001", "domain": "a", "slots": 3, "connections": 110, "checks_grants": true}
      ]
    }
  ]
}`

// conflictingService has the same name as the service in validManifest and an
// overlapping prefix.
const conflictingService = `{"name": "display", "path_prefix": "/", "key": {"from": "header", "name": "x-key"}, "classes": [
  {"name": "read", "repeat": "idempotent", "deadline_ms": 1, "objective": {"latency_ms": 1, "ratio": 0.5}}], "targets": []},`

// findings parses a document and returns its findings, each formatted on one line.
func findings(t *testing.T, document string) []string {
	t.Helper()
	_, err := Parse("m.json", []byte(document))
	if err == nil {
		return nil
	}
	var found *finding.Error
	if !errors.As(err, &found) {
		t.Fatalf("error %v is not a *finding.Error", err)
	}
	var out []string
	for _, f := range found.Findings {
		out = append(out, f.String())
	}
	return out
}

// Guards against findings that are lost, have the wrong location, or suppress one
// another. Each row modifies the valid document and lists all expected findings.
func TestParseFindings(t *testing.T) {
	rows := []struct {
		name, old, new string
		want           []string
	}{
		{"valid", "", "", nil},
		{"unknown field", `"slots": 3`, `"slot": 3`, []string{
			"m.json:14: services[0].targets[0].slot: unknown field (did you mean slots?)",
			"m.json:14: services[0].targets[0].slots: 0 is out of range; expected 1 to 1024",
		}},
		{"wrong type suppresses the range check", `"slots": 3`, `"slots": "3"`, []string{
			"m.json:14: services[0].targets[0].slots: is of type string; expected number",
		}},
		{"null", `"schema": 1`, `"schema": null`, []string{"m.json:2: schema: is of type null; expected number"}},
		{"fraction", `"slots": 3`, `"slots": 1.5`, []string{
			"m.json:14: services[0].targets[0].slots: 1.5 is not a 32-bit whole number",
		}},
		{"duplicate field", `"name": "muscat",`, `"name": "muscat", "name": "perinka",`, []string{"m.json:3: name: field given twice (keep one)"}},
		{"invalid JSON", `"schema": 1,`, `"schema": 1`, []string{`m.json:3: not valid JSON: invalid character '"' after object key:value pair`}},
		{"schema", `"schema": 1`, `"schema": 2`, []string{"m.json:2: schema: schema 2 is not supported (set it to 1)"}},
		{"slots and connections out of range", `"slots": 3, "connections": 110`, `"slots": 0, "connections": 4097`, []string{
			"m.json:14: services[0].targets[0].slots: 0 is out of range; expected 1 to 1024",
			"m.json:14: services[0].targets[0].connections: 4097 is out of range; expected 1 to 4096",
		}},
		{"no connection for grants", `"connections": 110`, `"connections": 3`, []string{
			"m.json:14: services[0].targets[0].connections: 3 connections cannot carry 3 slots and the connection for grants",
		}},
		{"host name", `127.0.0.1:9001`, `localhost:9001`, []string{
			`m.json:14: services[0].targets[0].address: "localhost:9001" is not ip:port of a host (use an IP address and a port of 1 to 65535, such as 10.0.0.1:8080)`,
		}},
		{"key source", `"from": "path", "segment": 0`, `"from": "body"`, []string{
			`m.json:8: services[0].key.from: unknown key source "body" (use path, query or header)`,
		}},
		{"key in a reserved header", `"from": "path", "segment": 0`, `"from": "header", "name": "jackdawloom-key"`, []string{
			`m.json:8: services[0].key.name: header "jackdawloom-key" is reserved for the router`,
		}},
		{"objective missing", `, "objective": {"latency_ms": 50, "ratio": 0.999}`, ``, []string{
			"m.json:10: services[0].classes[0].objective: missing (give latency_ms and ratio)",
		}},
		{"objective out of range", `"latency_ms": 50, "ratio": 0.999`, `"latency_ms": 501, "ratio": 1`, []string{
			"m.json:11: services[0].classes[0].objective.latency_ms: 501 is out of range; expected 1 to 500 ms (the deadline)",
			"m.json:11: services[0].classes[0].objective.ratio: 1 is out of range; expected above 0 and below 1",
		}},
		{"every target drains", `"checks_grants": true`, `"checks_grants": true, "drain": true`, []string{
			"m.json:13: services[0].targets: every target has drain set, so no target is left to own their keys (leave one target without drain, or remove the service)",
		}},
		{"conflicting services", `"services": [`, `"services": [` + conflictingService, []string{
			"m.json:5: services[0].targets: 0 entries; expected 1 to 4096",
			`m.json:7: services[1].name: name "display" is already used by services[0]`,
			`m.json:8: services[1].path_prefix: "/display" overlaps "/" of service "display" (use disjoint prefixes)`,
		}},
		{"class never matches", `"classes": [`, `"classes": [{"name": "all", "repeat": "never", "deadline_ms": 1, "objective": {"latency_ms": 1, "ratio": 0.5}},`, []string{
			`m.json:10: services[0].classes[1]: class "read" can never match: earlier classes match all its requests (move it before them or remove it)`,
		}},
		{"class prefix includes the key", `"repeat"`, `"path_prefix": "/a", "repeat"`, []string{
			`m.json:10: services[0].classes[0].path_prefix: "/a" includes the segment of the key (use a shorter prefix or a later key segment)`,
		}},
		{"duplicate address", `"targets": [`, `"targets": [{"name": "display-01", "address": "[::ffff:127.0.0.1]:9001", "domain": "a", "slots": 3, "connections": 4, "checks_grants": true},`, []string{
			"m.json:14: services[0].targets[1].address: address 127.0.0.1:9001 is already used by services[0].targets[0]",
			"m.json:14: services[0].targets[1].name: name \"display-01\" is already used by services[0].targets[0]",
		}},
		{"target that does not check grants", `"checks_grants": true`, `"checks_grants": false`, []string{
			"m.json:14: services[0].targets[0].checks_grants: must be true: a request is sent directly to the owner of its key, which has to refuse keys that it was not granted (serve the key space with targets that check grants)",
		}},
		{"deadline", `"deadline_ms": 500`, `"deadline_ms": 0`, []string{
			"m.json:11: services[0].classes[0].deadline_ms: 0 is out of range; expected 1 to 60000 ms",
		}},
		{"repeat", `"idempotent"`, `"sometimes"`, []string{
			`m.json:10: services[0].classes[0].repeat: unknown value "sometimes" (use idempotent or never)`,
		}},
		{"escape in prefix", `"/display"`, `"/display/%41/"`, []string{
			`m.json:7: services[0].path_prefix: "/display/%41/" ends with / (remove the last /)`,
		}},
		{"too deep", `"schema": 1`, `"schema": ` + strings.Repeat("[", 40) + strings.Repeat("]", 40), []string{
			"m.json:2: not valid JSON: nested too deeply",
		}},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			document := strings.Replace(validManifest, r.old, r.new, 1)
			got := findings(t, document)
			if strings.Join(got, "\n") != strings.Join(r.want, "\n") {
				t.Errorf("findings:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(r.want, "\n"))
			}
		})
	}
}

// Guards against example manifests that differ from the deployments described on the
// design page.
func TestExamples(t *testing.T) {
	type size struct{ targets, slots, connections int }
	rows := map[string]map[string]size{
		"muscat":  {"display": {15, 3, 110}, "scheduling": {10, 3, 110}, "publishing": {5, 3, 110}},
		"perinka": {"inventory": {15, 6, 60}, "reservation": {5, 6, 60}, "orders": {5, 6, 60}},
	}
	for name, services := range rows {
		b, err := os.ReadFile("../../../examples/" + name + ".json")
		if err != nil {
			t.Fatal(err)
		}
		m, err := Parse(name+".json", b)
		if err != nil {
			t.Fatal(err)
		}
		if m.Name != name || len(m.Services) != len(services) {
			t.Errorf("%s.json has the name %s and %d services", name, m.Name, len(m.Services))
		}
		for _, s := range m.Services {
			got, domains := size{targets: len(s.Targets)}, map[string]bool{}
			for _, target := range s.Targets {
				got.slots, got.connections = target.Slots, target.Connections
				domains[target.Domain] = true
			}
			if got != services[s.Name] || len(domains) != 3 || longestDeadline(s) > time.Second {
				t.Errorf("%s %s: %+v in %d domains; want %+v in 3", name, s.Name, got, len(domains), services[s.Name])
			}
		}
	}
}

func longestDeadline(s Service) time.Duration {
	var longest time.Duration
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline())
	}
	return longest
}

// Guards against quadratic validation time and an unbounded number of findings for a
// document of the maximum size.
func TestParseLargest(t *testing.T) {
	document := `{"schema": 1, "name": "m", "services": [{}` + strings.Repeat(",{}", MaxBytes/3-20) + `]}`
	got := findings(t, document)
	const perService = 8 // one per required field
	if len(got) == 0 || len(got) > 1+perService*MaxServices {
		t.Errorf("got %d findings, want at least 1 and at most one per required field of each checked service, plus one", len(got))
	}
	if got := findings(t, document+strings.Repeat(" ", MaxBytes)); len(got) != 1 {
		t.Errorf("got %d findings for an oversized document, want 1", len(got))
	}
}
