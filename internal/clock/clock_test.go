package clock

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// timeOfDay matches calls that read the time of day or compare with it.
var timeOfDay = regexp.MustCompile(`time\.(Now|Since|Until)\(|\.(Unix|UnixMilli|UnixNano)\(`)

// monotonic lists the uses that are not affected by steps of the time of day: the time package
// measures differences and deadlines of these values by their monotonic part.
var monotonic = map[string]int{
	"edge/run.go":                  2, // duration of the shutdown
	"edge/front/body.go":           2, // deadlines of a connection
	"edge/front/framing.go":        1, // deadline of a connection
	"edge/front/linger.go":         2, // deadlines of a connection
	"transport/peernet/peernet.go": 2, // pause between dials
	"topo/etcdgw/transport.go":     1, // deadline of a context
}

// Guards against a decision that depends on the time of day, which jumps by seconds on some
// instances: leases, grants, budgets, pauses and the states of targets are timed by Now.
func TestNoDecisionReadsTheTimeOfDay(t *testing.T) {
	for _, dir := range []string{"edge", "coordination", "state", "transport", "topo", "../platform"} {
		err := filepath.WalkDir(filepath.Join("..", dir), func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			name := strings.TrimPrefix(filepath.ToSlash(path), "../")
			standIn := strings.HasPrefix(name, "topo/memstore") || strings.HasPrefix(name, "topo/topotest")
			if entry.IsDir() || standIn || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
				return nil
			}
			source, err := os.ReadFile(path)
			if found := len(timeOfDay.FindAll(source, -1)); found != monotonic[name] {
				t.Errorf("%s reads the time of day %d times, want %d", name, found, monotonic[name])
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
