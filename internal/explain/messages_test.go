package explain

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var logCallPattern = regexp.MustCompile(`(?i)log\.(?:Info|Warn|Error)\(\s*"((?:[^"\\]|\\.)*)"`)

// loggedMessages returns the log messages that the source of the daemon contains.
func loggedMessages(t *testing.T) map[string]bool {
	t.Helper()
	out := make(map[string]bool)
	for _, dir := range []string{"../edge", "../topo/mirror"} {
		err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			for _, m := range logCallPattern.FindAllStringSubmatch(string(source), -1) {
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

// Guards against a message that was reworded in the daemon and is therefore no longer
// selected as a related line, and against a message about the coordinator's lease or
// the store that is not selected at all, as had happened with two of them.
func TestShownMessagesAreLogged(t *testing.T) {
	logged := loggedMessages(t)
	for _, shown := range []map[string]bool{daemonStateMessages, coordinationMessages} {
		for m := range shown {
			if !logged[m] {
				t.Errorf("%q is shown, but not logged by the daemon", m)
			}
		}
	}
	for m := range logged {
		mustBeShown := strings.HasPrefix(m, "coordinator's lease") || strings.HasPrefix(m, "store ") && strings.Contains(m, "reach")
		if mustBeShown && !daemonStateMessages[m] && !coordinationMessages[m] {
			t.Errorf("%q is logged, but not shown", m)
		}
	}
}
