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

// response is a complete HTTP response, which is written after the faults have been applied.
type response struct {
	status int
	body   any
}

// unaryFunc performs a call with the given request body.
type unaryFunc func(body []byte) response

// unary decodes the request for fn and encodes errors as etcd does.
func unary[Req, Res any](fn func(Req) (Res, error)) unaryFunc {
	return func(body []byte) response {
		var req Req
		if err := etcdwire.Decode(body, &req); err != nil {
			return errorResponse(http.StatusBadRequest, etcdwire.CodeInvalidArgument, err.Error())
		}
		res, err := fn(req)
		if err != nil {
			return errorResponseFor(err)
		}
		return response{status: http.StatusOK, body: res}
	}
}

// errUnimplemented reports a part of etcd's API that the stand-in does not implement.
var errUnimplemented = errors.New("not supported by this stand-in")

// errorResponseFor returns the response that etcd gives for err.
func errorResponseFor(err error) response {
	switch {
	case errors.Is(err, topo.ErrLeaseNotFound):
		return errorResponse(http.StatusNotFound, etcdwire.CodeNotFound, "etcdserver: requested lease not found")
	case errors.Is(err, memstore.ErrLeaseExists):
		return errorResponse(http.StatusBadRequest, etcdwire.CodeFailedPrecond, "etcdserver: lease already exists")
	case errors.Is(err, memstore.ErrLeaseTTL):
		return errorResponse(http.StatusBadRequest, etcdwire.CodeOutOfRange, "etcdserver: too large lease TTL")
	case errors.Is(err, memstore.ErrCompacted), errors.Is(err, memstore.ErrFutureRev):
		return errorResponse(http.StatusBadRequest, etcdwire.CodeOutOfRange, "etcdserver: mvcc: "+err.Error())
	case errors.Is(err, memstore.ErrValueTooLarge):
		return errorResponse(http.StatusBadRequest, etcdwire.CodeInvalidArgument, "etcdserver: request is too large")
	case errors.Is(err, errUnimplemented):
		return errorResponse(http.StatusNotImplemented, etcdwire.CodeUnimplemented, err.Error())
	default:
		return errorResponse(http.StatusBadRequest, etcdwire.CodeInvalidArgument, "etcdserver: "+err.Error())
	}
}

func errorResponse(status, code int, message string) response {
	return response{status: status, body: etcdwire.Error{Error: message, Code: code, Message: message}}
}

func (r response) write(w http.ResponseWriter) {
	text, err := json.Marshal(r.body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.status)
	_, _ = w.Write(text) // a write fails if the caller has closed the connection
}

// readBody reads a request body of at most maxRequestBytes. If ok is false, errResp is the
// response to send.
func readBody(r *http.Request) (body []byte, errResp response, ok bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes+1))
	if err != nil {
		return nil, errorResponse(http.StatusBadRequest, etcdwire.CodeInvalidArgument, err.Error()), false
	}
	if len(body) > maxRequestBytes {
		return nil, errorResponseFor(memstore.ErrValueTooLarge), false
	}
	return body, response{}, true
}
