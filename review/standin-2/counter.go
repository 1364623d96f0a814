package main

import (
	"context"
	"fmt"
	"time"
)

// counterStart is the store's revision at the start of the case "counter". A few seconds later it passes
// 10^13.
const counterStart = 10_000_000_000_000 - 500

// counter: the store's revisions pass 10^13. Then the configuration moves the bookings to another
// service.
func counter(t *trial) (int, error) {
	if t.trouble {
		t.st.startAt(counterStart)
	}
	t.writeConfig(1, "books")
	if _, err := t.endpoints("reads", 14, true, 60*time.Millisecond); err != nil {
		return notRun, err
	}
	if _, err := t.endpoints("books", 6, false, 100*time.Millisecond); err != nil {
		return notRun, err
	}
	if _, err := t.endpoints("notices", 6, false, 100*time.Millisecond); err != nil {
		return notRun, err
	}
	if err := t.fl.startAll(); err != nil {
		return notRun, err
	}
	if !t.fl.awaitReady(8 * time.Second) {
		return notRun, errNotReady
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	t.cl.press(ctx, t.fl, 40, "POST", "book.example", "/book/1", false, 2*time.Second)
	t.cl.press(ctx, t.fl, 60, "GET", "read.example", "/read/1", true, 1500*time.Millisecond)
	passed := !t.trouble || t.st.await(counterStart+600, 40*time.Second)
	t.rec.log("revision passed: %v", passed)
	time.Sleep(2 * time.Second)
	t.writeConfig(2, "notices")
	moved := time.Now()
	time.Sleep(20 * time.Second)
	cancel()
	t.cl.wg.Wait()
	reads := make(map[int]int)
	for _, a := range t.cl.answers {
		if a.route == "read.example" && a.sent.After(moved.Add(12*time.Second)) {
			reads[a.status]++
		}
	}
	fmt.Printf("keyed reads sent more than 12 s after the acknowledgement of r2: %v\n", reads)
	return t.judgeMove(moved.Add(configTime), "books")
}
