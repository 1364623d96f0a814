// Command standin-3 plays the scripts of the third review: it starts the daemons as processes of their
// own and takes the part of the store, the endpoints, the clients and another writer.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a trial.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	maxTrial = 115 * time.Second
)

const fleetSize = 8

// trial is what the cases have in common.
type trial struct {
	rec     *record
	st      *store
	fl      *fleet
	led     *ledger
	cl      *clients
	trouble bool
}

var cases = map[string]func(*trial) (int, error){"incomplete-entry": incompleteEntry, "late-copies": lateCopies}

func main() {
	name := flag.String("case", "", "the `NAME` of the case")
	binary := flag.String("daemon", "target/jackdawloomd", "the daemon's `FILE`")
	recordFile := flag.String("record", "record.txt", "write what happens to `FILE`")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(notRun)
	}
	os.Exit(runTrial(play, *binary, *recordFile))
}

func runTrial(play func(*trial) (int, error), binary, recordFile string) int {
	rec, err := openRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	st, err := startStore()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	t := &trial{rec: rec, st: st, led: &ledger{}, cl: newClients(rec), trouble: os.Getenv("TROUBLE") != "0"}
	if t.fl, err = newFleet(fleetSize, binary, st.address, rec); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer t.fl.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := play(t)
		done <- result{code, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			fmt.Fprintln(os.Stderr, "not run:", r.err)
		}
		return r.code
	case <-stop:
		return notRun
	case <-time.After(maxTrial):
		fmt.Fprintln(os.Stderr, "not run: it takes too long")
		return notRun
	}
}
