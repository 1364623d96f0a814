// Package bodybuf reads message bodies into memory. All bodies that are held at the same
// time share a budget, so that senders of large or endless bodies cannot exhaust the memory
// of the process.
package bodybuf

import (
	"context"
	"errors"
	"fmt"
	"io"
)

// Errors of Read.
var (
	// ErrTooLarge reports a body above the limit for one body, or above the whole budget.
	ErrTooLarge = errors.New("body too large")
	// ErrNoMemory reports a body that does not fit the memory that is left for bodies.
	ErrNoMemory = errors.New("no memory left for the body")
)

// initialSize is the buffer that a body starts with, in bytes. It doubles as the body arrives.
const initialSize = 4 << 10

// Budget bounds the memory of all bodies that are held at the same time. It is safe for
// concurrent use.
type Budget struct {
	limit int64
	sem   *memory
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, sem: newMemory(limit)}
}

// Close ends all waits for memory, also those that would begin later, with ErrNoMemory. Memory that
// is left can still be used.
func (b *Budget) Close() { b.sem.endWaits() }

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Buffer is a body in memory. It counts against its budget until Release is called.
type Buffer struct {
	data   []byte
	held   int64
	budget *Budget
}

// Bytes returns the body. It must not be used after Release.
func (b *Buffer) Bytes() []byte {
	if b == nil {
		return nil
	}
	return b.data
}

// Release returns the memory to the budget. It may be called more than once, also on nil.
func (b *Buffer) Release() {
	if b == nil || b.held == 0 {
		return
	}
	b.budget.sem.release(nil, b.held)
	b.data, b.held = nil, 0
}

// Read reads a body of at most limit bytes. length is the announced length, or -1 if it is
// unknown. Memory is taken as the body arrives. A body of known length waits for it until ctx is
// done, so that a burst of large bodies is slowed down instead of refused. A body of unknown length fails with
// ErrNoMemory: it may already hold memory, and bodies that wait for each other's memory
// would wait until their deadlines.
func (b *Budget) Read(ctx context.Context, r io.Reader, length, limit int64) (*Buffer, error) {
	if length > min(limit, b.limit) {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, length)
	}
	if length >= 0 {
		return b.readKnown(ctx, r, length)
	}
	return b.readUnknown(r, limit)
}

func (b *Budget) readKnown(ctx context.Context, r io.Reader, length int64) (*Buffer, error) {
	buf := &Buffer{data: []byte{}, budget: b}
	if err := buf.fill(ctx, r, length); err != nil {
		return nil, err
	}
	// The reader reports a malformed end of the body only when the end is read.
	if _, err := io.Copy(io.Discard, r); err != nil {
		buf.Release()
		return nil, err
	}
	return buf, nil
}

// fill reads length bytes. After an error the buffer holds no memory.
func (b *Buffer) fill(ctx context.Context, r io.Reader, length int64) error {
	g := &growth{length: length}
	for g.held < length {
		size := min(max(initialSize, 2*g.held), length)
		if err := b.budget.sem.acquire(ctx, g, size-g.held); err != nil {
			b.budget.sem.release(g, g.held)
			return fmt.Errorf("%w: %w", ErrNoMemory, err)
		}
		data := make([]byte, size)
		n := copy(data, b.data)
		b.data = data
		if _, err := io.ReadFull(r, data[n:]); err != nil {
			b.budget.sem.release(g, g.held)
			return unexpectedEOF(err)
		}
	}
	b.held = length
	return nil
}

// unexpectedEOF makes sure that a body that ends early does not look like an empty one.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (b *Budget) readUnknown(r io.Reader, limit int64) (*Buffer, error) {
	buf := &Buffer{budget: b}
	for {
		if len(buf.data) == cap(buf.data) {
			if err := buf.grow(limit); err != nil {
				buf.Release()
				return nil, err
			}
		}
		n, err := r.Read(buf.data[len(buf.data):cap(buf.data)])
		buf.data = buf.data[:len(buf.data)+n]
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			buf.Release()
			return nil, err
		}
	}
}

// grow doubles the capacity, up to the whole budget. One byte above the limit distinguishes a
// body of exactly the limit from a larger one. The old buffer does not count while it is copied.
func (b *Buffer) grow(limit int64) error {
	if int64(len(b.data)) > limit {
		return fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
	}
	size := min(max(initialSize, 2*b.held), limit+1, b.budget.limit)
	if size == b.held || !b.budget.sem.TryAcquire(size-b.held) {
		return ErrNoMemory
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data, b.held = data, size
	return nil
}
