package bodybuf

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"
)

// endless is a body without an end.
type endless struct{ read int64 }

func (e *endless) Read(b []byte) (int, error) {
	e.read += int64(len(b))
	return len(b), nil
}

// Guards against an endless body that takes memory beyond its limit or the budget.
func TestEndlessBodyEnds(t *testing.T) {
	for name, c := range map[string]struct {
		budget, limit int64
		want          error
	}{
		"limit of one body": {1 << 20, 64 << 10, ErrTooLarge},
		"budget":            {64 << 10, 1 << 20, ErrNoMemory},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(c.budget)
			body := &endless{}
			if _, err := b.Read(context.Background(), body, -1, c.limit); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
			if body.read > 2*(64<<10) {
				t.Errorf("read %d bytes of a body whose limit is 64 KiB", body.read)
			}
			if !b.sem.TryAcquire(c.budget) {
				t.Error("the budget was not returned after the error")
			}
		})
	}
}

// Guards against a truncated body that counts as complete, and against a body that is longer
// than announced.
func TestTruncatedBodyIsAnError(t *testing.T) {
	b := NewBudget(1 << 20)
	for _, length := range []int64{4, 100} {
		if _, err := b.Read(context.Background(), strings.NewReader("who"), length, 1<<20); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("announced %d, sent 3: got %v", length, err)
		}
	}
	if _, err := b.Read(context.Background(), iotest.ErrReader(io.ErrClosedPipe), -1, 1<<20); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("body of unknown length that breaks off: %v", err)
	}
	if !b.sem.TryAcquire(1 << 20) {
		t.Error("the budget was not returned after errors")
	}
}

// Guards against refusing a body of known length that only has to wait for others, and against
// one that waits beyond its deadline.
func TestKnownLengthWaitsForMemory(t *testing.T) {
	b := NewBudget(10)
	first, err := b.Read(context.Background(), strings.NewReader("12345678"), 8, 100)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if _, err := b.Read(ctx, strings.NewReader("1234"), 4, 100); !errors.Is(err, ErrNoMemory) {
		t.Errorf("without memory until the deadline: %v", err)
	}
	time.AfterFunc(10*time.Millisecond, first.Release)
	second, err := b.Read(context.Background(), strings.NewReader("1234"), 4, 100)
	if err != nil || string(second.Bytes()) != "1234" {
		t.Errorf("after the first was released: %q, %v", second.Bytes(), err)
	}
	if _, err := b.Read(context.Background(), strings.NewReader("12345678901"), 11, 100); !errors.Is(err, ErrTooLarge) {
		t.Errorf("body above the whole budget: %v", err)
	}
}

// Guards against bodies that change on the way, and against memory that is not returned.
func TestReadReturnsTheBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget = 200 << 10
		b := NewBudget(budget)
		body := rapid.SliceOfN(rapid.Byte(), 0, 20<<10).Draw(t, "body")
		limit := rapid.Int64Range(0, 30<<10).Draw(t, "limit")
		length := int64(-1)
		if rapid.Bool().Draw(t, "known") {
			length = int64(len(body))
		}
		got, err := b.Read(context.Background(), iotest.OneByteReader(bytes.NewReader(body)), length, limit)
		if tooLarge := int64(len(body)) > limit; tooLarge != errors.Is(err, ErrTooLarge) {
			t.Fatalf("%d bytes with the limit %d: %v", len(body), limit, err)
		}
		if err == nil && !bytes.Equal(got.Bytes(), body) {
			t.Fatal("the body has changed")
		}
		got.Release()
		got.Release()
		if !b.sem.TryAcquire(budget) {
			t.Fatal("memory was not returned")
		}
	})
}

// Guards against an empty body that waits behind a large one that waits for memory.
func TestEmptyBodyNeedsNoMemory(t *testing.T) {
	b := NewBudget(10)
	first, err := b.Read(context.Background(), strings.NewReader("12345678"), 8, 100)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Release()
	ctx, cancel := context.WithCancel(context.Background())
	waiting := make(chan struct{})
	go func() {
		defer close(waiting)
		_, _ = b.Read(ctx, strings.NewReader("1234"), 4, 100)
	}()
	time.Sleep(20 * time.Millisecond) // until the second body waits
	short, cancelShort := context.WithTimeout(context.Background(), time.Second)
	defer cancelShort()
	if _, err := b.Read(short, strings.NewReader(""), 0, 100); err != nil {
		t.Errorf("empty body: %v", err)
	}
	cancel()
	<-waiting
}

// silent is a body that sends its first bytes and then nothing until it is closed.
type silent struct {
	first  io.Reader
	closed chan struct{}
}

func (s *silent) Read(b []byte) (int, error) {
	if n, _ := s.first.Read(b); n > 0 {
		return n, nil
	}
	<-s.closed
	return 0, io.ErrUnexpectedEOF
}

// Guards against senders that announce large bodies and send little of them, and so keep the
// memory that other bodies need until their deadlines.
func TestSilentSendersHoldNoMemory(t *testing.T) {
	const budget, announced, body = 1 << 20, 1 << 19, 100 << 10
	b := NewBudget(budget)
	closed := make(chan struct{})
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			_, _ = b.Read(context.Background(), &silent{strings.NewReader("x"), closed}, announced, budget)
		})
	}
	time.Sleep(20 * time.Millisecond) // until all have begun
	for _, length := range []int64{body, announced, -1} {
		size := max(length, body)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		got, err := b.Read(ctx, io.LimitReader(&endless{}, size), length, announced)
		if err != nil {
			t.Errorf("body of %d bytes, announced as %d, beside silent senders: %v", size, length, err)
		}
		got.Release()
		cancel()
	}
	close(closed)
	wg.Wait()
}

// Guards against bodies that each hold a part of the memory and wait for the rest until their
// deadlines, and against a body that is refused although it only has to wait.
func TestBodiesThatGrowTogetherAllArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget = 64 << 10
		b := NewBudget(budget)
		lengths := rapid.SliceOfN(rapid.Int64Range(1, budget), 2, 30).Draw(t, "lengths")
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		errs := make([]error, len(lengths))
		var wg sync.WaitGroup
		for i, length := range lengths {
			wg.Go(func() {
				body, err := b.Read(ctx, io.LimitReader(&endless{}, length), length, budget)
				errs[i] = err
				body.Release()
			})
		}
		wg.Wait()
		if err := errors.Join(errs...); err != nil {
			t.Fatal(err)
		}
		if !b.sem.TryAcquire(budget) {
			t.Fatal("memory was not returned")
		}
	})
}

// Guards against a body of unknown length that is refused although it fits the memory.
func TestOneBodyMayTakeTheWholeBudget(t *testing.T) {
	const budget = 36 << 10 // more than half of it is not a power of two times the first buffer
	for _, size := range []int64{17 << 10, 20 << 10, 33 << 10, budget - 1} {
		b := NewBudget(budget)
		body, err := b.Read(context.Background(), io.LimitReader(&endless{}, size), -1, 1<<20)
		if err != nil || int64(len(body.Bytes())) != size {
			t.Errorf("body of %d bytes with a budget of %d: read %d, %v", size, budget, len(body.Bytes()), err)
		}
		body.Release()
	}
}

// Guards against bodies that wait for memory after the budget was closed.
func TestCloseEndsWaits(t *testing.T) {
	b := NewBudget(10)
	held, err := b.Read(context.Background(), strings.NewReader("0123456789"), 10, 10)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(20*time.Millisecond, b.Close)
	for range 2 {
		if _, err := b.Read(context.Background(), strings.NewReader("x"), 1, 10); !errors.Is(err, ErrNoMemory) {
			t.Errorf("got %v, want ErrNoMemory", err)
		}
	}
	held.Release()
	if _, err := b.Read(context.Background(), strings.NewReader("x"), 1, 10); err != nil {
		t.Errorf("with memory left: %v", err)
	}
}
