package storesrv

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/etcdwire"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

// answer is a complete reply, held back until the faults have been applied.
type answer struct {
	status int
	body   any
}

// answerFunc performs a call with the given request body.
type answerFunc func(body []byte) answer

// unary adapts a call with typed messages.
func unary[Req, Res any](fn func(Req) (Res, error)) answerFunc {
	return func(body []byte) answer {
		var req Req
		if err := etcdwire.Decode(body, &req); err != nil {
			return refusal(http.StatusBadRequest, etcdwire.CodeInvalidArgument, err.Error())
		}
		res, err := fn(req)
		if err != nil {
			return refusalOf(err)
		}
		return answer{status: http.StatusOK, body: res}
	}
}

// errUnimplemented reports a part of etcd's API that the stand-in lacks.
var errUnimplemented = errors.New("not supported by this stand-in")

// refusalOf returns etcd's reply for an error.
func refusalOf(err error) answer {
	switch {
	case errors.Is(err, topo.ErrLeaseNotFound):
		return refusal(http.StatusNotFound, etcdwire.CodeNotFound, "etcdserver: requested lease not found")
	case errors.Is(err, memstore.ErrLeaseExists):
		return refusal(http.StatusBadRequest, etcdwire.CodeFailedPrecond, "etcdserver: lease already exists")
	case errors.Is(err, memstore.ErrLeaseTTL):
		return refusal(http.StatusBadRequest, etcdwire.CodeOutOfRange, "etcdserver: too large lease TTL")
	case errors.Is(err, memstore.ErrCompacted), errors.Is(err, memstore.ErrFutureRev):
		return refusal(http.StatusBadRequest, etcdwire.CodeOutOfRange, "etcdserver: mvcc: "+err.Error())
	case errors.Is(err, memstore.ErrValueTooLarge):
		return refusal(http.StatusBadRequest, etcdwire.CodeInvalidArgument, "etcdserver: request is too large")
	case errors.Is(err, errUnimplemented):
		return refusal(http.StatusNotImplemented, etcdwire.CodeUnimplemented, err.Error())
	default:
		return refusal(http.StatusBadRequest, etcdwire.CodeInvalidArgument, "etcdserver: "+err.Error())
	}
}

func refusal(status, code int, message string) answer {
	return answer{status: status, body: etcdwire.Error{Error: message, Code: code, Message: message}}
}

func (a answer) write(w http.ResponseWriter) {
	text, err := json.Marshal(a.body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.status)
	_, _ = w.Write(text) // a failed write means that the caller has left
}

// readBody reads a bounded request body; the answer is valid if ok is false.
func readBody(r *http.Request) (body []byte, a answer, ok bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes+1))
	if err != nil {
		return nil, refusal(http.StatusBadRequest, etcdwire.CodeInvalidArgument, err.Error()), false
	}
	if len(body) > maxRequestBytes {
		return nil, refusalOf(memstore.ErrValueTooLarge), false
	}
	return body, answer{}, true
}
