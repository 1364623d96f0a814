package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryLimit is memory-mb of the settings, in KiB.
	memoryLimit = 284 << 10
	// restartDelay is how long a machine stays without a process after it was killed.
	restartDelay = time.Second
	// crowd is the number of entries that another writer leaves.
	crowd = 300
	// crowdGap is far above the time between two reads of the store, so that no reply to a watch has
	// more than a few of them.
	crowdGap = 150 * time.Millisecond
)

// anonymousMemory returns the memory of a process that no file backs, in KiB.
func anonymousMemory(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return n
		}
	}
	return 0
}

// memoryWatch kills the processes that exceed their memory, as the platform does, and starts them again.
type memoryWatch struct {
	ends    map[string]int // by daemon
	highest int            // in KiB
}

func (w *memoryWatch) run(ctx context.Context, t *trial) {
	for ctx.Err() == nil {
		for _, d := range t.fl.daemons {
			d.mu.Lock()
			pid := 0
			if d.cmd != nil && d.cmd.Process != nil {
				pid = d.cmd.Process.Pid
			}
			d.mu.Unlock()
			if pid == 0 {
				continue
			}
			used := anonymousMemory(pid)
			w.highest = max(w.highest, used)
			if used <= memoryLimit {
				continue
			}
			w.ends[d.name]++
			t.rec.log("%s takes %d MiB, more than memory-mb: the platform kills it", d.name, used>>10)
			t.fl.kill(d)
			go func() {
				time.Sleep(restartDelay)
				_ = t.fl.start(d)
			}()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// crowdedStore: another writer leaves entries that can't be read among those of the endpoints.
func crowdedStore(t *trial) (int, error) {
	t.writeConfig(1, "books")
	if _, err := t.endpoints("reads", 14, true, 60*time.Millisecond); err != nil {
		return notRun, err
	}
	if _, err := t.endpoints("books", 6, false, 250*time.Millisecond); err != nil {
		return notRun, err
	}
	if _, err := t.endpoints("notices", 6, false, 250*time.Millisecond); err != nil {
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
	watch := &memoryWatch{ends: make(map[string]int)}
	watching := make(chan struct{})
	go func() {
		defer close(watching)
		watch.run(ctx, t)
	}()
	t.cl.press(ctx, t.fl, 40, "POST", "book.example", "/book/1", false, 2*time.Second)
	t.cl.press(ctx, t.fl, 60, "GET", "read.example", "/read/1", true, 1500*time.Millisecond)
	time.Sleep(3 * time.Second)
	for i := range crowd {
		if t.trouble {
			value := make([]byte, 1<<20)
			_, _ = rand.Read(value)
			t.st.write(fmt.Sprintf("servers/other-%d", i+1), value)
			t.rec.log("another writer writes servers/other-%d", i+1)
		}
		time.Sleep(crowdGap)
	}
	written := time.Now()
	time.Sleep(25 * time.Second)
	cancel()
	t.cl.wg.Wait()
	<-watching
	return t.judgeEnds(watch, written)
}

// judgeEnds counts the machines on which processes ended three times for their memory, and what became
// of the requests that were sent after a time.
func (t *trial) judgeEnds(w *memoryWatch, after time.Time) (int, error) {
	ran := make(map[string]bool)
	for _, x := range t.led.runs {
		ran[x.id] = true
	}
	statuses, cut := make(map[int]int), 0
	for _, a := range t.cl.answers {
		if a.sent.After(after) {
			statuses[a.status]++
		}
		if a.status == 0 && ran[a.id] {
			cut++
		}
	}
	machines := 0
	for _, n := range w.ends {
		if n >= 3 {
			machines++
		}
	}
	summary := fmt.Sprintf("processes ended for their memory: %v; machines with three such ends or more: %d; highest use: %d MiB; requests that ran and were cut: %d; "+
		"answers to requests sent after the last entry, by status: %v; largest reply to a watch: %d bytes", w.ends, machines, w.highest>>10, cut, statuses, t.st.largestWatch())
	t.rec.log("%s", summary)
	fmt.Println(summary)
	if machines >= 2 {
		return broken, nil
	}
	return held, nil
}
