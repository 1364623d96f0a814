package ctl

import (
	"strings"
	"testing"

	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
)

// Guards against a list that hides what is left in a domain, or that sends to it have not ended yet.
func TestEvacuationsPrinted(t *testing.T) {
	r := evacuationsResult{adminapi.Evacuations{Daemon: "loom-1", CopyAgeMs: 20, Domains: []adminapi.Evacuation{
		{Domain: "rack-1", KnownForMs: 1500, LastSendMs: 3000, Keys: 120, Requests: 7},
		{Domain: "rack-2", KnownForMs: 60_000, Missing: true},
	}}}
	var out strings.Builder
	if err := r.print(&out); err != nil {
		t.Fatal(err)
	}
	for _, row := range [][]string{{"rack-1", "1.5s", "in 3s", "120", "7"}, {"rack-2", "1m0s", "over", "0", "request missing in the store"}} {
		found := false
		for line := range strings.Lines(out.String()) {
			if !strings.Contains(line, row[0]) {
				continue
			}
			found = true
			for _, text := range row {
				found = found && strings.Contains(line, text)
			}
		}
		if !found {
			t.Errorf("no row with %q in:\n%s", row, &out)
		}
	}
}
