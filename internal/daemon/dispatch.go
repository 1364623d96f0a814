package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/admission"
	"github.com/jackdawloom/jackdawloom/internal/coordination/front"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
	"github.com/jackdawloom/jackdawloom/internal/transport/targetnet"
)

// do sends one request to the target when it has a slot. The error is a
// *refusal. The caller must close the response's body.
func (f *targetFront) do(ctx context.Context, c call) (*http.Response, error) {
	started, refused := f.admit(ctx, c)
	if refused != nil {
		return nil, refused
	}
	run, refused := f.begin(started, c)
	if refused != nil {
		return nil, refused
	}
	return f.send(ctx, run, c)
}

// admitted is a request that holds a slot.
type admitted struct {
	id uint64
	at time.Time
}

func (f *targetFront) admit(ctx context.Context, c call) (admitted, *refusal) {
	now := time.Now()
	f.mu.Lock()
	if err := f.dispatchable(c.unit, now); err != nil {
		f.mu.Unlock()
		return admitted{}, dispatchRefusal(err)
	}
	class, ok := f.classIndex[c.class]
	if !ok {
		f.mu.Unlock()
		return admitted{}, &refusal{status: http.StatusServiceUnavailable, outcome: notRun, reason: reasonOldConfig}
	}
	f.nextID++
	id := f.nextID
	decision := f.controller.Offer(admission.Request{ID: id, Class: class, Caller: c.caller, Deadline: c.deadline}, now)
	f.apply(decision.Changes)
	var wait chan verdict
	if decision.Verdict == admission.Queued {
		wait = make(chan verdict, 1)
		f.waiting[id] = wait
	}
	f.mu.Unlock()
	switch decision.Verdict {
	case admission.Run:
		return admitted{id: id, at: now}, nil
	case admission.Queued:
		return f.await(ctx, id, wait)
	default:
		return admitted{}, admissionRefusal(decision.Reason)
	}
}

func (f *targetFront) dispatchable(u table.Unit, now time.Time) error {
	return f.machine.CanDispatch(u, now, f.membership.authorityUntil())
}

func (f *targetFront) await(ctx context.Context, id uint64, wait chan verdict) (admitted, *refusal) {
	select {
	case v := <-wait:
		return admitted{id: id, at: time.Now()}, v.refused
	case <-ctx.Done():
	}
	now := time.Now()
	f.mu.Lock()
	delete(f.waiting, id)
	queued, ch := f.controller.Cancel(id, now)
	if !queued {
		// The request was started meanwhile; it gives its slot back unused.
		ch = f.controller.Done(id, admission.Cancelled, 0, now)
	}
	f.apply(ch)
	f.mu.Unlock()
	return admitted{}, contextRefusal(ctx)
}

// running is a dispatched request.
type running struct {
	admitted
	token      front.Token
	unitEpoch  uint32
	frontEpoch uint64
	hash       uint64
	never      bool
}

// begin checks the front's right once more and counts the request as running.
func (f *targetFront) begin(a admitted, c call) (running, *refusal) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	err := c.expired(now)
	var token front.Token
	if err == nil {
		token, err = f.machine.Begin(c.unit, now, f.membership.authorityUntil())
	}
	if err != nil {
		f.apply(f.controller.Done(a.id, admission.Cancelled, 0, now))
		return running{}, dispatchRefusal(err)
	}
	frontEpoch, unitEpoch := f.machine.Epochs(c.unit)
	a.at = now
	return running{admitted: a, token: token, frontEpoch: frontEpoch, unitEpoch: unitEpoch, hash: c.hash, never: c.neverRepeat}, nil
}

func (f *targetFront) end(r running, result front.Result, limited admission.Result) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machine.Ended(r.token, result, now)
	f.load.add(r.hash, now.Sub(r.at), r.never)
	f.apply(f.controller.Done(r.id, limited, now.Sub(r.at), now))
}

func (f *targetFront) send(ctx context.Context, r running, c call) (*http.Response, error) {
	req := c.targetRequest(r)
	options := targetnet.Options{
		NeverRepeat: c.neverRepeat,
		SilentAfter: f.silentAfter(c.class),
		BeforeSend:  func() error { return f.recheck(c) },
	}
	resp, err := f.pool.RoundTrip(ctx, req, options)
	if err != nil {
		return nil, f.sendFailed(ctx, r, err)
	}
	if refused := f.rejected(r, resp.Response); refused != nil {
		return nil, refused
	}
	resp.Body = &trackedBody{ReadCloser: resp.Body, ctx: ctx, status: resp.StatusCode, end: func(fr front.Result, ar admission.Result) { f.end(r, fr, ar) }}
	return resp.Response, nil
}

func (f *targetFront) silentAfter(class string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.classes[f.classIndex[class]]
	return silentFactor * time.Duration(c.Objective.LatencyMs) * time.Millisecond
}

// recheck runs after a connection was obtained and right before the first byte
// is written: dialling may have taken long.
func (f *targetFront) recheck(c call) error {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := c.expired(now); err != nil {
		return err
	}
	return f.dispatchable(c.unit, now)
}

func (f *targetFront) sendFailed(ctx context.Context, r running, err error) *refusal {
	if errors.Is(err, targetnet.ErrNotSent) {
		result := front.Refused
		if ctx.Err() != nil || isDispatchError(err) {
			result = front.Rejected
		}
		f.end(r, result, admission.Cancelled)
		if isDispatchError(err) {
			return dispatchRefusal(err)
		}
		return &refusal{status: http.StatusServiceUnavailable, outcome: notRun, reason: reasonUnreachable, cause: err}
	}
	switch {
	case errors.Is(err, targetnet.ErrSilent) && ctx.Err() == nil:
		f.end(r, front.Cancelled, admission.Cancelled)
		return &refusal{status: http.StatusBadGateway, outcome: unknown, reason: reasonConnection, cause: err}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		f.end(r, front.Silent, admission.Silent)
		return &refusal{status: http.StatusGatewayTimeout, outcome: unknown, reason: reasonDeadline, cause: err}
	case ctx.Err() != nil:
		f.end(r, front.Cancelled, admission.Cancelled)
		return &refusal{status: http.StatusBadGateway, outcome: unknown, reason: reasonCancelled, cause: err}
	}
	f.end(r, front.Broken, admission.Failed)
	return &refusal{status: http.StatusBadGateway, outcome: unknown, reason: reasonConnection, cause: err}
}

// trackedBody reports the end of a response.
type trackedBody struct {
	io.ReadCloser
	ctx    context.Context
	status int
	once   sync.Once
	end    func(front.Result, admission.Result)
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.finish(b.success())
	case b.ctx.Err() != nil:
		b.finish(front.Cancelled, admission.Cancelled)
	default:
		b.finish(front.Broken, admission.Failed)
	}
	return n, err
}

func (b *trackedBody) success() (front.Result, admission.Result) {
	if b.status >= http.StatusInternalServerError {
		return front.Failure, admission.Failed
	}
	return front.Success, admission.OK
}

// Close implements io.Closer. A body closed before its end was cancelled.
func (b *trackedBody) Close() error {
	err := b.ReadCloser.Close()
	b.finish(front.Cancelled, admission.Cancelled)
	return err
}

func (b *trackedBody) finish(r front.Result, a admission.Result) {
	b.once.Do(func() { b.end(r, a) })
}
