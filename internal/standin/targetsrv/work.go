package targetsrv

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawloom/jackdawloom/internal/protocol/header"
)

// ChecksumTrailer is the trailer with the xxHash64 of the body in hexadecimal.
const ChecksumTrailer = "Jackdawloom-Body-Sum"

// MaxBodyBytes is the maximum size of a response body that a request may ask for; larger
// values are reduced to it.
const MaxBodyBytes = 64 << 20

// Query parameters of a work request.
const (
	workParam     = "work_ms"  // duration of the work
	bytesParam    = "bytes"    // size of the response body
	chunksParam   = "chunks"   // number of chunks in which the response is streamed
	trailersParam = "trailers" // 1 adds ChecksumTrailer
	tagParam      = "tag"      // recorded as Run.Tag
)

// Reasons, in addition to those of Grants, for which work is refused or stopped.
var (
	errStopped  = errors.New("target stopped")
	errShed     = errors.New("no free slot")
	errPause    = errors.New("target asks for a pause")
	errDraining = errors.New("draining")
	errDeadline = errors.New("deadline exceeded")
)

// job is an admitted work request.
type job struct {
	seq     int
	id      string
	key     uint16
	work    time.Duration
	size    int
	chunks  int
	trailer bool
	faults  Faults
}

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	s.awaitUnfrozen()
	s.setLeavingHeader(w)
	timeout, hasDeadline := deadline(r)
	if hasDeadline && timeout <= 0 {
		s.refuse(w, r, http.StatusGatewayTimeout, errDeadline)
		return
	}
	if r.Context().Err() != nil {
		return
	}
	j, err := s.admit(r)
	if err != nil {
		s.refuse(w, r, refusalStatus(err), err)
		return
	}
	if !hasDeadline {
		timeout = noDeadline
	}
	ctx, cancel := context.WithTimeoutCause(r.Context(), timeout, errDeadline)
	defer cancel()
	s.execute(ctx, w, r, j)
}

// noDeadline is the timeout of a request without a deadline. It is longer than any test.
const noDeadline = 24 * time.Hour

func deadline(r *http.Request) (time.Duration, bool) {
	ms, err := strconv.ParseInt(r.Header.Get(header.DeadlineMs), 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil
}

// refuse responds to a request that was not run.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, status int, reason error) {
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	w.Header().Set(header.Target, s.responseTargetName(r))
	w.Header().Set(header.Outcome, header.NotRun)
	w.Header().Set(header.Reason, reason.Error())
	if pause := s.Faults().PauseSeconds; errors.Is(reason, errPause) {
		w.Header().Set("Retry-After", strconv.FormatFloat(pause, 'f', -1, 64))
	}
	http.Error(w, reason.Error(), status)
}

// setLeavingHeader sets the header by which a target says that it is leaving.
func (s *Server) setLeavingHeader(w http.ResponseWriter) {
	if s.Faults().Leaving {
		w.Header().Set(header.Leaving, "1")
	}
}

// responseTargetName returns the target's name in the form that the request used, or the
// bare name if the request is for another target.
func (s *Server) responseTargetName(r *http.Request) string {
	if expected := r.Header.Get(header.Target); path.Base(expected) == s.config.Name {
		return expected
	}
	return s.config.Name
}

func refusalStatus(err error) int {
	if errors.Is(err, errShed) || errors.Is(err, errDraining) || errors.Is(err, errPause) {
		return http.StatusServiceUnavailable
	}
	return http.StatusMisdirectedRequest
}

// admit checks the grant, takes a slot and records the start of the run. It does so
// under one lock, so that the grant cannot change between the check and the start.
func (s *Server) admit(r *http.Request) (job, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	if s.faults.Draining && now-s.drainStart >= s.config.DrainGrace {
		s.stats.Late++
		return job{}, errDraining
	}
	key, fence, err := s.checkRequest(r.Header, now)
	if err != nil {
		s.stats.Refused++
		return job{}, err
	}
	if s.faults.PauseSeconds > 0 {
		return job{}, errPause
	}
	if s.stats.Running >= s.config.Slots {
		s.stats.Shed++
		return job{}, errShed
	}
	s.stats.Running++
	s.stats.Ran++
	s.stats.MostRunning = max(s.stats.MostRunning, s.stats.Running)
	s.runningByKey[key]++
	j := s.startRun(r, now, fence)
	j.key = key
	return j, nil
}

// checkRequest returns the request's key and the fence under which it may run. The fence
// is 0 if the target does not check grants.
func (s *Server) checkRequest(h http.Header, now time.Duration) (key uint16, fence uint64, err error) {
	if expected := h.Get(header.Target); expected != "" && path.Base(expected) != s.config.Name {
		return 0, 0, ErrWrongTarget
	}
	n, err := strconv.ParseUint(h.Get(header.Key), 10, 16)
	if !s.config.ChecksGrants {
		return uint16(n), 0, nil
	}
	if err != nil {
		return 0, 0, ErrNoKey
	}
	if fence = s.grants.Fence(now, uint16(n)); fence == 0 {
		return 0, 0, ErrNotHeld
	}
	return uint16(n), fence, nil
}

func (s *Server) startRun(r *http.Request, now time.Duration, fence uint64) job {
	q := r.URL.Query()
	run := Run{
		Tag:       q.Get(tagParam),
		RequestID: r.Header.Get(header.RequestID),
		Key:       r.Header.Get(header.Key),
		Fence:     fence,
		Draining:  s.faults.Draining,
	}
	return job{
		seq:     s.runs.Begin(run, now),
		id:      run.RequestID,
		work:    s.workTime(q, now),
		size:    min(intParam(q, bytesParam), MaxBodyBytes),
		chunks:  max(intParam(q, chunksParam), 1),
		trailer: q.Get(trailersParam) == "1",
		faults:  s.faults,
	}
}

func (s *Server) workTime(q url.Values, now time.Duration) time.Duration {
	var d time.Duration
	switch ms, err := strconv.ParseFloat(q.Get(workParam), 64); {
	case err == nil:
		d = time.Duration(ms * float64(time.Millisecond))
	case s.config.ServiceTime != nil:
		d = s.config.ServiceTime(s.random)
	}
	return time.Duration(float64(d) * s.coldFactor(now) * max(s.faults.Slowdown, 1))
}

// coldFactor falls linearly from ColdFactor to 1 over ColdFor.
func (s *Server) coldFactor(now time.Duration) float64 {
	if now >= s.config.ColdFor {
		return 1
	}
	left := float64(s.config.ColdFor-now) / float64(s.config.ColdFor)
	return 1 + (s.config.ColdFactor-1)*left
}

func intParam(q url.Values, name string) int {
	n, _ := strconv.Atoi(q.Get(name))
	return max(n, 0)
}

func (s *Server) execute(ctx context.Context, w http.ResponseWriter, r *http.Request, j job) {
	state := RunCut
	defer func() { s.finish(j, state) }()
	received, err := io.Copy(io.Discard, r.Body)
	if err == nil {
		err = s.simulateWork(ctx, j.work/time.Duration(j.chunks))
	}
	if err != nil {
		state = runStateFor(err)
		respondIncomplete(w, err)
		return
	}
	if j.faults.LoseResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(header.RequestID, j.id)
	err = s.respond(ctx, w, j, Body(s.config.Name, j.key, j.id, received, j.size))
	if err != nil {
		state = runStateFor(err)
		panic(http.ErrAbortHandler)
	}
	state = RunDone
}

// simulateWork waits until d has passed, ctx ends or the target is closed. It does not
// return while the target is frozen, unless the target is closed.
func (s *Server) simulateWork(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	var err error
	select {
	case <-t.C:
	case <-ctx.Done():
		err = context.Cause(ctx)
	case <-s.stopped:
		err = errStopped
	}
	s.frozenGate.wait(s.stopped)
	return err
}

func runStateFor(err error) RunState {
	switch {
	case errors.Is(err, errDeadline):
		return RunDeadline
	case errors.Is(err, errTruncated):
		return RunCut
	}
	return RunCancelled
}

// respondIncomplete responds to a request whose run was stopped before it finished.
func respondIncomplete(w http.ResponseWriter, err error) {
	if !errors.Is(err, errDeadline) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(header.Outcome, header.Unknown)
	w.Header().Set(header.Reason, err.Error())
	http.Error(w, err.Error(), http.StatusGatewayTimeout)
}

// errTruncated reports a response that was truncated by Faults.Truncate.
var errTruncated = errors.New("response truncated")

func (s *Server) respond(ctx context.Context, w http.ResponseWriter, j job, body []byte) error {
	sum := fmt.Sprintf("%016x", xxhash.Sum64(body))
	if j.trailer {
		w.Header().Set("Trailer", ChecksumTrailer)
	}
	if j.chunks == 1 && !j.trailer {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if maxBytes := j.faults.Truncate; maxBytes > 0 && maxBytes < len(body) {
		_, _ = w.Write(body[:maxBytes])
		_ = http.NewResponseController(w).Flush()
		return errTruncated
	}
	if err := s.writeChunks(ctx, w, j, body); err != nil {
		return err
	}
	if j.trailer {
		w.Header().Set(ChecksumTrailer, sum)
	}
	return nil
}

// writeChunks writes the response in chunks, spread over the remaining service time.
func (s *Server) writeChunks(ctx context.Context, w http.ResponseWriter, j job, body []byte) error {
	step := (len(body) + j.chunks - 1) / j.chunks
	for i := range j.chunks {
		if i > 0 {
			if err := s.simulateWork(ctx, j.work/time.Duration(j.chunks)); err != nil {
				return err
			}
		}
		from, to := min(i*step, len(body)), min((i+1)*step, len(body))
		if _, err := w.Write(body[from:to]); err != nil {
			return err
		}
		if j.chunks > 1 {
			_ = http.NewResponseController(w).Flush()
		}
	}
	return nil
}

func (s *Server) finish(j job, state RunState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs.End(j.seq, state, s.Now())
	s.stats.Running--
	if s.runningByKey[j.key]--; s.runningByKey[j.key] == 0 {
		delete(s.runningByKey, j.key)
	}
	close(s.runEnded)
	s.runEnded = make(chan struct{})
	if s.stats.Running == 0 && s.idleNotify != nil {
		close(s.idleNotify)
		s.idleNotify = nil
	}
}

// Body returns the response body of a request: a line with the target, the key, the
// request ID and the number of body bytes received, padded to size bytes with
// repetitions of the request ID, so that bytes of another response can be detected
// anywhere in it.
func Body(target string, key uint16, requestID string, received int64, size int) []byte {
	line := fmt.Sprintf("target=%s key=%d request=%s received=%d\n", target, key, requestID, received)
	if size <= len(line) {
		return []byte(line)
	}
	filler := []byte(requestID + "\n")
	body := append([]byte(line), bytes.Repeat(filler, (size-len(line))/len(filler)+1)...)
	return body[:size]
}
