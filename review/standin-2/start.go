package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// restoredStart: the store comes back from a copy that was taken before the daemons wrote anything, and
// all daemons are killed meanwhile.
func restoredStart(t *trial) (int, error) {
	t.writeConfig(1, "books")
	reads, err := t.endpoints("reads", 11, true, 60*time.Millisecond)
	if err != nil {
		return notRun, err
	}
	t.st.takeCopy()
	t.rec.log("copy of the store taken")
	if err := t.fl.startAll(); err != nil {
		return notRun, err
	}
	if !t.fl.awaitReady(8 * time.Second) {
		return notRun, errNotReady
	}
	time.Sleep(3 * time.Second)
	for i := range 3 {
		e, err := startEndpoint(fmt.Sprintf("i-reads-a%d", i), "reads", zoneNames[i], true, 60*time.Millisecond, t.st, t.rec, t.led)
		if err != nil {
			return notRun, err
		}
		reads = append(reads, e)
	}
	time.Sleep(1500 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watch := &ownerWatch{since: make(map[int]time.Time)}
	go watch.run(ctx, func() []*endpoint { return reads })
	if t.trouble {
		t.st.goAway()
		t.rec.log("store away")
		time.Sleep(1500 * time.Millisecond)
		for _, d := range t.fl.daemons {
			t.fl.kill(d)
		}
		t.st.restore(3 * heartbeat)
		t.writeConfig(1, "books")
		t.rec.log("store back from the copy")
		time.Sleep(700 * time.Millisecond)
		if err := t.fl.endBootstrap(); err != nil {
			return notRun, err
		}
		if err := t.fl.startAll(); err != nil {
			return notRun, err
		}
	}
	time.Sleep(10 * time.Second)
	summary := fmt.Sprintf("two holders of a key for %v at most: %s", watch.worst, watch.report)
	t.rec.log("%s", summary)
	fmt.Println(summary)
	if watch.worst > 500*time.Millisecond {
		return broken, nil
	}
	return held, nil
}

// ownerWatch looks for keys that two endpoints hold at the same time.
type ownerWatch struct {
	mu     sync.Mutex
	since  map[int]time.Time // when two holders of a key were first seen
	worst  time.Duration
	report string
}

func (o *ownerWatch) run(ctx context.Context, all func() []*endpoint) {
	for ctx.Err() == nil {
		now := time.Now()
		eps := all()
		for k := 0; k < keyCount; k += 64 {
			holders := ""
			n := 0
			for _, e := range eps {
				if e.holds(k) {
					holders += " " + e.id
					n++
				}
			}
			o.mu.Lock()
			if n < 2 {
				delete(o.since, k)
			} else if at, known := o.since[k]; !known {
				o.since[k] = now
			} else if d := now.Sub(at); d > o.worst {
				o.worst, o.report = d, fmt.Sprintf("key %d held by%s for %v", k, holders, d)
			}
			o.mu.Unlock()
		}
		time.Sleep(20 * time.Millisecond)
	}
}
