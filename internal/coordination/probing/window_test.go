package probing

import "testing"

// Guards against targets that are never considered, against counting one twice, and against
// windows that grow with the number of targets or keep nothing between requests.
func TestWindow(t *testing.T) {
	for _, n := range []int{windowSize + 1, 100, 1000} {
		w := NewWindow()
		considered := make([]int, n)
		const requests = 4000
		for range requests {
			seen := make(map[int]bool)
			for _, i := range w.ForRequest().Indexes(n) {
				considered[i]++
				seen[i] = true
			}
			if len(seen) != windowSize {
				t.Fatalf("%d of %d targets considered, want %d", len(seen), n, windowSize)
			}
		}
		always := 0
		for i, count := range considered {
			if count == 0 {
				t.Fatalf("target %d of %d is never considered", i, n)
			}
			if count == requests {
				always++
			}
		}
		if always < windowSize/2 {
			t.Errorf("%d targets of %d are always considered", always, n)
		}
	}
	if got := NewWindow().Indexes(windowSize); got != nil {
		t.Errorf("%d of %d targets considered, want all", len(got), windowSize)
	}
}
