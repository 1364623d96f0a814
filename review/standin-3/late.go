package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// The trouble comes troubleRounds times, for troubleTime each, with a pause between.
	troubleRounds = 14
	troubleTime   = 5 * time.Second
	troublePause  = 1500 * time.Millisecond
	// Of the requests, shedShare thousandths are rejected. Of the answers, copyShare thousandths are sent
	// a second time, all of them rejections, at copyEndpoints of the endpoints.
	shedShare     = 450
	copyShare     = 30
	copyEndpoints = 9
)

// lateCopies: the endpoints of a keyed service reject a part of their requests although they have room,
// and some of them send a few of these answers a second time, late.
func lateCopies(t *trial) (int, error) {
	t.writeConfig()
	reads, err := t.endpoints("reads", 15, true, 80*time.Millisecond)
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
	hot := rand.IntN(keyCount)
	t.rec.log("the hot key is %d", hot)
	t.cl.pressKeys(ctx, &fleet{daemons: t.fl.daemons[:1]}, 106, http.MethodPut, "file.example", "/file/1", fileDeadline, func() int { return hot })
	t.cl.press(ctx, t.fl, 140, http.MethodPut, "file.example", "/file/1", true, fileDeadline)
	time.Sleep(4 * time.Second)
	for range troubleRounds {
		if t.trouble {
			t.beginTrouble(reads, hot)
		}
		time.Sleep(troubleTime)
		for _, e := range reads {
			e.shed.thousandths.Store(0)
			e.copies.thousandths.Store(0)
		}
		time.Sleep(troublePause)
	}
	cancel()
	t.cl.wg.Wait()
	return t.judgeRuns()
}

const fileDeadline = 1500 * time.Millisecond

// beginTrouble makes all endpoints reject requests, and some of them, with the owner of the hot key, send
// rejections a second time.
func (t *trial) beginTrouble(reads []*endpoint, hot int) {
	left := copyEndpoints
	for _, e := range reads {
		e.shed.thousandths.Store(shedShare)
		if e.holds(hot) {
			e.copies.thousandths.Store(copyShare * 1000 / shedShare)
			left--
		}
	}
	for _, i := range rand.Perm(len(reads)) {
		if left > 0 && reads[i].copies.thousandths.Load() == 0 {
			reads[i].copies.thousandths.Store(copyShare * 1000 / shedShare)
			left--
		}
	}
	t.rec.log("for %v, all endpoints reject %d in 1000 requests, and %d of them send %d in 1000 answers a second time", troubleTime, shedShare, copyEndpoints, copyShare)
}

// judgeRuns counts the requests that must not repeat and have run twice, and those that were refused
// although they have run.
func (t *trial) judgeRuns() (int, error) {
	runs := make(map[string]int)
	t.led.mu.Lock()
	for _, x := range t.led.runs {
		runs[x.id]++
	}
	t.led.mu.Unlock()
	twice, refused := 0, 0
	statuses := make(map[int]int)
	for _, a := range t.cl.answers {
		statuses[a.status]++
		if runs[a.id] > 1 {
			twice++
			t.rec.log("request %s has run %d times", a.id, runs[a.id])
		}
		if runs[a.id] > 0 && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) {
			refused++
			t.rec.log("request %s has run and was answered %d", a.id, a.status)
		}
	}
	summary := fmt.Sprintf("%d requests ran twice, %d were refused and have run; answers by status: %v", twice, refused, statuses)
	t.rec.log("%s", summary)
	fmt.Println(summary)
	if twice+refused > 0 {
		return broken, nil
	}
	return held, nil
}
