package listener

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// failingListener returns the given errors from Accept before it accepts connections.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

func newFailingListener(t *testing.T, errs ...error) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return New(&failingListener{l, errs}, slog.New(slog.DiscardHandler))
}

// Guards against a listener that accepts nothing any more after a lack of descriptors or memory.
func TestAcceptsAfterErrorsThatPass(t *testing.T) {
	l := newFailingListener(t, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED)
	go func() {
		if c, err := net.Dial("tcp4", l.Addr().String()); err == nil {
			_ = c.Close()
		}
	}()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
}

// Guards against waiting for ever with a listener that cannot accept connections any more, and
// against one that does not end while it waits.
func TestEndsAfterOtherErrors(t *testing.T) {
	if _, err := newFailingListener(t, syscall.EBADF).Accept(); !errors.Is(err, syscall.EBADF) {
		t.Errorf("got %v, want the error", err)
	}
	var errs []error
	for range 1000 {
		errs = append(errs, syscall.EMFILE)
	}
	l := newFailingListener(t, errs...)
	time.AfterFunc(50*time.Millisecond, func() { _ = l.Close() })
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("got %v after Close, want net.ErrClosed", err)
	}
}
