package probing

import "testing"

// Guards against targets that are never considered, against counting one twice, and against
// windows that grow with the number of targets or keep nothing between requests.
func TestWindow(t *testing.T) {
	// The first and the last place of the request's part are drawn by one request in 937 each of 1,000
	// targets. Sound code misses one of them with a chance below 10^-8.
	const requests = 20_000
	for _, n := range []int{windowSize + 1, 100, 1000} {
		w := NewWindow()
		considered := make(map[int]int)
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
		for _, count := range considered {
			if count == requests {
				always++
			}
		}
		if len(considered) != n || always < windowSize/2 {
			t.Errorf("%d of %d targets considered at all, %d always", len(considered), n, always)
		}
	}
}
