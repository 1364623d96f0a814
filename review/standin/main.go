// Command standin plays one case of the review: it starts the router's processes, stands in
// for the platform, the endpoints and the clients, and checks one rule. It exits with 1 if
// the rule was broken, 0 if it held, and 2 if the case could not be played.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// timeLimit is the longest that a case may take.
const timeLimit = 118 * time.Second

// scenario returns whether the rule held.
type scenario func(f *fleet, trouble bool) (bool, error)

var scenarios = map[string]scenario{
	"copies":      playCopies,
	"cut":         playCut,
	"descriptors": playDescriptors,
	"late-stop":   playLateStop,
	"path":        playPath,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return 2
	}
	root, err := filepath.Abs(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec, err := openRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	f, err := newFleet(root, rec)
	if err != nil {
		rec.say("case not played: %v", err)
		return 2
	}
	defer f.close()
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
		select {
		case <-stop:
		case <-time.After(timeLimit):
		}
		rec.say("case not played: ended from outside, or after %v", timeLimit)
		f.close()
		os.Exit(2)
	}()
	held, err := scenarios[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("case not played: %v", err)
		return 2
	case held:
		rec.say("the rule held")
		return 0
	default:
		rec.say("THE RULE WAS BROKEN")
		return 1
	}
}
