package edge

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// logCallPattern matches log calls in the source and captures the message.
var logCallPattern = regexp.MustCompile(`(?i)log\.(?:Info|Warn|Error)\(\s*"((?:[^"\\]|\\.)*)"`)

// documentedPattern captures the messages and metrics in the tables of the operations
// page.
var documentedPattern = regexp.MustCompile("(?m)^\\| `([^`]+)` \\|")

// Guards against a log message that is missing on the operations page, and against a
// documented message that the source no longer contains.
func TestOperationsPageListsAllMessages(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := make(map[string]bool)
	for _, m := range documentedPattern.FindAllStringSubmatch(string(page), -1) {
		documented[m[1]] = true
	}
	logged := make(map[string]bool)
	for _, dir := range []string{".", "../topo/mirror", "../eventlog", "../native", "../transport/listener", "../transport/plainnet", "../transport/peernet", "../../platform"} {
		err := filepath.WalkDir(dir, func(path string, entry os.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			for _, m := range logCallPattern.FindAllStringSubmatch(string(source), -1) {
				logged[m[1]] = true
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for message := range logged {
		if !documented[message] {
			t.Errorf("log message %q is not on the page", message)
		}
	}
	for name := range documented {
		if !logged[name] && !strings.HasPrefix(name, "jackdawloom_") {
			t.Errorf("the page lists %q, which is not written", name)
		}
	}
}
