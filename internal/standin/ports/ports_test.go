package ports

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"
	"time"
)

const (
	// fleets is the number of processes that reserve addresses at the same time, and
	// addresses the number that each of them reserves.
	fleets    = 40
	addresses = 16
	childKey  = "JACKDAWLOOM_PORTS_CHILD"
)

// TestMain runs as a fleet if it was started by TestFleetsAtOnce.
func TestMain(m *testing.M) {
	if os.Getenv(childKey) != "" {
		os.Exit(runFleet())
	}
	os.Exit(m.Run())
}

// runFleet reserves addresses, listens at them and prints "ok" or what failed.
func runFleet() int {
	reserved, err := Reserve(addresses)
	for _, a := range reserved {
		if _, listenErr := net.Listen("tcp4", a.String()); listenErr != nil {
			err = listenErr
		}
		if _, listenErr := net.ListenPacket("udp4", a.String()); listenErr != nil {
			err = listenErr
		}
	}
	if err != nil {
		fmt.Println(err)
		return 1
	}
	fmt.Println("ok")
	time.Sleep(500 * time.Millisecond) // while the others start
	return 0
}

// Guards against a port that is taken between the time at which it was chosen and the time at
// which a process listens at it: tests failed with "address already in use".
func TestFleetsAtOnce(t *testing.T) {
	stop := make(chan struct{})
	var connections sync.WaitGroup
	connections.Go(func() { openConnections(t, stop) })
	var wg sync.WaitGroup
	for i := range fleets {
		wg.Go(func() {
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), childKey+"=1")
			out, err := cmd.StdoutPipe()
			if err != nil {
				t.Error(err)
				return
			}
			if err := cmd.Start(); err != nil {
				t.Error(err)
				return
			}
			lines := bufio.NewScanner(out)
			if !lines.Scan() || lines.Text() != "ok" {
				t.Errorf("fleet %d: %s", i, lines.Text())
			}
			_ = cmd.Wait()
		})
	}
	wg.Wait()
	close(stop)
	connections.Wait()
}

// openConnections opens connections, which take ports from the system's own range.
func openConnections(t *testing.T, stop <-chan struct{}) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = l.Close() }()
	var open []net.Conn
	defer func() {
		for _, c := range open {
			_ = c.Close()
		}
	}()
	for len(open) < 1000 {
		select {
		case <-stop:
			return
		default:
		}
		c, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			return
		}
		open = append(open, c)
	}
}
