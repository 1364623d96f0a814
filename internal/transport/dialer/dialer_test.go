package dialer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/standin/partition"
	"github.com/jackdawloom/jackdawloom/internal/transport/dialer"
)

// startListener returns a listener that passes on how each of its connections ends.
func startListener(t *testing.T) (address string, ends <-chan error) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	out := make(chan error, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, err := io.Copy(io.Discard, c)
				out <- err
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String(), out
}

// Guards against a closed connection whose unsent data is still delivered, because it is not
// reset.
func TestCloseResets(t *testing.T) {
	address, ends := startListener(t)
	c, err := dialer.New(time.Second, time.Second).DialContext(context.Background(), "tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "call"); err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	select {
	case err := <-ends:
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("the peer's connection ended with %v, want a reset", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the peer's connection did not end")
	}
}

// Guards against a call that a partition holds up and that arrives after the caller has given it
// up. The plain dialer shows that the partition delivers what is not reset.
func TestNothingArrivesAfterClose(t *testing.T) {
	for name, test := range map[string]struct {
		dialer  *net.Dialer
		arrives bool
	}{
		"reset": {dialer.New(time.Second, time.Minute), false},
		"plain": {&net.Dialer{}, true},
	} {
		t.Run(name, func(t *testing.T) {
			address, ends := startListener(t)
			link, err := partition.New(address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = link.Close() }()
			c, err := test.dialer.DialContext(context.Background(), "tcp4", link.Address())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(c, "before"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond)
			link.Cut()
			if _, err := io.WriteString(c, "call"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond)
			_ = c.Close()
			time.Sleep(50 * time.Millisecond)
			link.Heal()
			<-ends
			held, late := link.Counts()
			if held != len("call") || (late > 0) != test.arrives {
				t.Errorf("%d bytes were held up and %d of them arrived, want arrival: %v", held, late, test.arrives)
			}
		})
	}
}
