package edge

import "testing"

// Guards against callers' connections that may take all descriptors, and against a limit beyond
// that of the operating system.
func TestCallersGetAPartOfTheDescriptors(t *testing.T) {
	if got := maxCallerConns(90); got != 30 {
		t.Errorf("%d connections of callers with 90 descriptors, want 30", got)
	}
	if system, most := maxCallerConns(0), maxCallerConns(1<<40); system != most && system != 0 {
		t.Errorf("%d connections with more descriptors than the system's, %d with the system's", most, system)
	}
}
