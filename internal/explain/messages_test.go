package explain

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var logCall = regexp.MustCompile(`(?i)log\.(?:Info|Warn|Error)\(\s*"((?:[^"\\]|\\.)*)"`)

// writtenMessages returns the log messages of the daemon's source.
func writtenMessages(t *testing.T) map[string]bool {
	t.Helper()
	out := make(map[string]bool)
	for _, dir := range []string{"../edge", "../topo/mirror"} {
		err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			for _, m := range logCall.FindAllStringSubmatch(string(source), -1) {
				out[m[1]] = true
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// Guards against a message that was reworded in the daemon and is no longer shown
// beside a request, and against one about the lease that never was: two of them were
// missing for a sitting.
func TestShownMessagesAreWritten(t *testing.T) {
	written := writtenMessages(t)
	for _, shown := range []map[string]bool{beliefs, leases} {
		for m := range shown {
			if !written[m] {
				t.Errorf("%q is shown, but not written by the daemon", m)
			}
		}
	}
	for m := range written {
		about := strings.HasPrefix(m, "coordinator's lease") || strings.HasPrefix(m, "store ") && strings.Contains(m, "reach")
		if about && !beliefs[m] && !leases[m] {
			t.Errorf("%q is written, but not shown", m)
		}
	}
}
