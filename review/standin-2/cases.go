package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"
)

const fleetSize = 9

var errNotReady = errors.New("the daemons do not become ready")

var cases = map[string]func(*trial) (int, error){"odd-entry": oddEntry, "counter": counter, "restored-endpoint": restoredEndpoint, "restored-start": restoredStart, "crowded-store": crowdedStore}

// writeConfig writes a configuration in which bookings go to the given service.
func (t *trial) writeConfig(version int, bookings string) {
	t.st.write("op/config", fmt.Appendf(nil, `{"version":"r%d","routes":{"columns":["name","hostname","prefix","kind","timeout-ms","target-latency-ms","priority","backends","max-attempts","service"],`+
		`"rows":[["r-read","read.example","/read/","safe",1500,600,2,null,2,"reads"],["r-book","book.example","/book/","unsafe",2000,800,1,null,2,%q],["r-notice","notice.example","/notice/","unsafe",2000,800,0,null,2,"notices"]]},`+
		`"services":{"columns":["name","health-path","max-connections","protocol","tls","sharded","warmup-s","grants"],`+
		`"rows":[["reads","/health",110,"h1",false,true,5.0,"direct"],["books","/health",110,"h1",false,null,null,null],["notices","/health",110,"h1",false,null,null,null]]},`+
		`"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`, version, bookings))
	t.rec.log("configuration r%d acknowledged, bookings go to %s", version, bookings)
}

func (t *trial) endpoints(service string, n int, keyed bool, work time.Duration) ([]*endpoint, error) {
	var out []*endpoint
	for i := range n {
		e, err := startEndpoint(fmt.Sprintf("i-%s-%d", service, i+1), service, zoneNames[i%len(zoneNames)], keyed, work, t.st, t.rec, t.led)
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

// oddEntry: another writer leaves an unreadable entry among those of the endpoints and writes it anew
// a few times. Then the configuration moves the bookings to another service, and when that is long in
// force, the endpoints of the old service are taken away in order.
func oddEntry(t *trial) (int, error) {
	t.writeConfig(1, "books")
	if _, err := t.endpoints("reads", 14, true, 60*time.Millisecond); err != nil {
		return notRun, err
	}
	books, err := t.endpoints("books", 6, false, 250*time.Millisecond)
	if err != nil {
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
	t.cl.press(ctx, t.fl, 40, "POST", "book.example", "/book/1", false, 2*time.Second)
	t.cl.press(ctx, t.fl, 60, "GET", "read.example", "/read/1", true, 1500*time.Millisecond)
	time.Sleep(3 * time.Second)
	if t.trouble {
		for range 5 {
			value := make([]byte, 1<<20)
			_, _ = rand.Read(value)
			t.st.write("servers/other-1", value)
			t.rec.log("another writer writes servers/other-1")
			time.Sleep(15 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	t.writeConfig(2, "notices")
	moved := time.Now()
	time.Sleep(5 * time.Second)
	for _, old := range books {
		go old.drain(3 * time.Second)
		time.Sleep(time.Second)
	}
	time.Sleep(7 * time.Second)
	cancel()
	t.cl.wg.Wait()
	return t.judgeMove(moved.Add(configTime), "books")
}

// configTime is config-apply-ms.
const configTime = 2 * time.Second

// judgeMove counts the bookings that the old service runs although they were sent after the given time,
// and what became of all that were sent after it.
func (t *trial) judgeMove(after time.Time, old string) (int, error) {
	sent := make(map[string]answer)
	statuses := make(map[int]int)
	for _, a := range t.cl.answers {
		if a.route == "book.example" && a.sent.After(after) {
			sent[a.id] = a
			statuses[a.status]++
		}
	}
	ranOld, cut := 0, 0
	for _, x := range t.led.runs {
		if a, known := sent[x.id]; known && x.service == old {
			ranOld++
			if a.status != 200 {
				cut++
			}
		}
	}
	summary := fmt.Sprintf("of %d bookings sent more than 2 s after the acknowledgement of r2, the old service ran %d, of which %d got no success; answers by status: %v; largest reply to a watch: %d bytes",
		len(sent), ranOld, cut, statuses, t.st.largestWatch())
	t.rec.log("%s", summary)
	fmt.Println(summary)
	if ranOld > 0 {
		return broken, nil
	}
	return held, nil
}

// restoredEndpoint: two endpoints of each of two services leave in order. Their entries are removed, and
// they serve on for a while. Then the store comes back from a copy that still has the entries.
func restoredEndpoint(t *trial) (int, error) {
	t.writeConfig(1, "books")
	if _, err := t.endpoints("reads", 14, true, 60*time.Millisecond); err != nil {
		return notRun, err
	}
	books, err := t.endpoints("books", 9, false, 800*time.Millisecond)
	if err != nil {
		return notRun, err
	}
	notices, err := t.endpoints("notices", 9, false, 800*time.Millisecond)
	if err != nil {
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
	t.cl.press(ctx, t.fl, 22, "POST", "book.example", "/book/1", false, 2*time.Second)
	t.cl.press(ctx, t.fl, 22, "PUT", "notice.example", "/notice/1", false, 2*time.Second)
	t.cl.press(ctx, t.fl, 40, "GET", "read.example", "/read/1", true, 1500*time.Millisecond)
	time.Sleep(6 * time.Second)
	t.st.takeCopy()
	t.rec.log("copy of the store taken")
	time.Sleep(time.Second)
	for _, e := range []*endpoint{books[0], books[1], notices[0], notices[1]} {
		go e.leave(leaveServe)
	}
	time.Sleep(3 * time.Second)
	if t.trouble {
		t.st.goAway()
		t.rec.log("store away")
		time.Sleep(time.Second)
		t.st.restore(3 * heartbeat)
		t.writeConfig(1, "books")
		t.rec.log("store back from the copy")
	}
	inTouch := time.Now().Add(contactTime)
	time.Sleep(10 * time.Second)
	cancel()
	t.cl.wg.Wait()
	return t.judgeDrain(inTouch)
}

// leaveServe is how long an endpoint serves on after its entry was removed.
const leaveServe = 7800 * time.Millisecond

// contactTime is contact-ms.
const contactTime = 3 * time.Second

// drainTime is drain-ms.
const drainTime = 2 * time.Second

// judgeDrain counts the requests that reach an endpoint later than drain-ms after its leaving was
// acknowledged, from the time on at which the machines are in touch; and those that do so later than
// drain-ms after their daemon has passed on an answer that says it, at any time.
func (t *trial) judgeDrain(inTouch time.Time) (int, error) {
	statuses := make(map[string]map[int]int)
	told := make(map[string]time.Time) // by daemon and endpoint
	byID := make(map[string]answer)
	for _, a := range t.cl.answers {
		if statuses[a.route] == nil {
			statuses[a.route] = make(map[int]int)
		}
		statuses[a.route][a.status]++
		byID[a.id] = a
		if at, known := told[a.daemon+a.leaving]; a.leaving != "" && (!known || a.answered.Before(at)) {
			told[a.daemon+a.leaving] = a.answered
		}
	}
	acknowledged := len(late.beyond(drainTime, inTouch))
	said, cut := 0, 0
	for _, x := range late.beyond(drainTime, time.Time{}) {
		a := byID[x.id]
		if at, known := told[a.daemon+x.endpoint]; known && a.sent.Sub(at) > drainTime {
			said++
		}
		if a.status != 200 {
			cut++
		}
	}
	summary := fmt.Sprintf("requests that reached a leaving endpoint more than 2 s after the acknowledgement: %d; more than 2 s after the daemon passed on Server-Leaving: %d; "+
		"of these without success: %d; answers by route and status: %v; largest reply to a watch: %d bytes", acknowledged, said, cut, statuses, t.st.largestWatch())
	t.rec.log("%s", summary)
	fmt.Println(summary)
	if acknowledged+said > 0 {
		return broken, nil
	}
	return held, nil
}
