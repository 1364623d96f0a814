package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

var errNotReady = errors.New("the daemons do not become ready")

// services of the routes, by host.
var serviceOf = map[string]string{"read.example": "reads", "book.example": "books", "notice.example": "notices"}

func (t *trial) writeConfig() {
	t.st.write("op/config", []byte(`{"version":"r1","routes":{"columns":["name","hostname","prefix","kind","timeout-ms","target-latency-ms","priority","backends","max-attempts","service"],`+
		`"rows":[["r-read","read.example","/read/","safe",1500,600,2,null,2,"reads"],["r-book","book.example","/book/","unsafe",2000,800,1,null,2,"books"],["r-file","file.example","/file/","unsafe",1500,600,0,null,2,"reads"],["r-notice","notice.example","/notice/","unsafe",1200,500,0,null,2,"notices"]]},`+
		`"services":{"columns":["name","health-path","max-connections","protocol","tls","sharded","warmup-s","grants"],`+
		`"rows":[["reads","/health",59,"h1",false,true,5.0,"direct"],["books","/health",59,"h1",false,null,null,null],["notices","/health",59,"h1",false,null,null,null]]},`+
		`"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`))
	t.rec.log("configuration r1 acknowledged")
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

const (
	// rounds is how often the other writer writes, and roundInterval the time between.
	rounds        = 3
	roundInterval = 2 * time.Second
)

// incompleteEntry: another writer leaves entries under the keys of two endpoints of one service. They have
// no version, and another service. The endpoints overwrite them with their next heartbeats.
func incompleteEntry(t *trial) (int, error) {
	t.writeConfig()
	if _, err := t.endpoints("reads", 15, true, 60*time.Millisecond); err != nil {
		return notRun, err
	}
	if _, err := t.endpoints("books", 7, false, 150*time.Millisecond); err != nil {
		return notRun, err
	}
	notices, err := t.endpoints("notices", 6, false, 100*time.Millisecond)
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
	t.cl.press(ctx, t.fl, 86, "POST", "book.example", "/book/1", false, 2*time.Second)
	t.cl.press(ctx, t.fl, 66, "PUT", "notice.example", "/notice/1", false, 1200*time.Millisecond)
	t.cl.press(ctx, t.fl, 100, "GET", "read.example", "/read/1", true, 1500*time.Millisecond)
	time.Sleep(4 * time.Second)
	for range rounds {
		for _, e := range notices[:2] {
			if t.trouble {
				t.writeIncomplete(e, "books")
			}
		}
		time.Sleep(roundInterval)
	}
	cancel()
	t.cl.wg.Wait()
	return t.judgeRoutes()
}

// writeIncomplete writes an entry under an endpoint's key that has another service and no version.
func (t *trial) writeIncomplete(e *endpoint, service string) {
	b, _ := json.Marshal(map[string]any{"service": service, "address": e.address, "zone": e.zone, "slots": endpointSlot,
		"state": "ready", "cold-remaining-ms": 0, "sequence": 1, "born": e.born})
	t.st.write("servers/"+e.id, b)
	t.rec.log("another writer writes servers/%s: %s", e.id, b)
}

// judgeRoutes counts the requests that a service has run to which no configuration sends them.
func (t *trial) judgeRoutes() (int, error) {
	sent := make(map[string]answer)
	statuses := make(map[string]map[int]int)
	for _, a := range t.cl.answers {
		sent[a.id] = a
		if statuses[a.route] == nil {
			statuses[a.route] = make(map[int]int)
		}
		statuses[a.route][a.status]++
	}
	t.led.mu.Lock()
	runs := t.led.runs
	t.led.mu.Unlock()
	astray, answered := 0, 0
	for _, x := range runs {
		a, known := sent[x.id]
		if !known || serviceOf[a.route] == x.service {
			continue
		}
		astray++
		if a.status == 200 && a.service == x.service {
			answered++
		}
		t.rec.log("request %s for %s was run by %s of %s; its client got %d", x.id, a.route, x.endpoint, x.service, a.status)
	}
	summary := fmt.Sprintf("%d of %d runs at a service to which no configuration sends the request; %d of them were answered with success; answers by route and status: %v",
		astray, len(runs), answered, statuses)
	t.rec.log("%s", summary)
	fmt.Println(summary)
	if astray > 0 {
		return broken, nil
	}
	return held, nil
}
