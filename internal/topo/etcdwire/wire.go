// Package etcdwire defines the messages of etcd's published v3 JSON gateway that the
// router uses. Byte strings are encoded in base64 and 64-bit integers as decimal strings.
// Fields with a zero value are omitted.
package etcdwire

import (
	"bytes"
	"fmt"
	"strconv"
)

// Paths of the gateway's calls.
const (
	PathRange       = "/v3/kv/range"
	PathPut         = "/v3/kv/put"
	PathDeleteRange = "/v3/kv/deleterange"
	PathTxn         = "/v3/kv/txn"
	PathGrant       = "/v3/lease/grant"
	PathKeepAlive   = "/v3/lease/keepalive"
	PathRevoke      = "/v3/lease/revoke"
	PathWatch       = "/v3/watch"
)

// Int64 is a 64-bit integer that is encoded as a string and decoded from a string or a
// number, as the JSON mapping of protocol buffers requires.
type Int64 int64

// MarshalJSON encodes the number as a string.
func (n Int64) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(n), 10)), nil
}

// UnmarshalJSON decodes a string or a number. null leaves n unchanged.
func (n *Int64) UnmarshalJSON(text []byte) error {
	if bytes.Equal(text, []byte("null")) {
		return nil
	}
	if len(text) >= 2 && text[0] == '"' && text[len(text)-1] == '"' {
		text = text[1 : len(text)-1]
	}
	v, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil {
		return fmt.Errorf("not a 64-bit integer: %q", text)
	}
	*n = Int64(v)
	return nil
}

// Header is part of every reply.
type Header struct {
	ClusterID Int64 `json:"cluster_id,omitempty"`
	MemberID  Int64 `json:"member_id,omitempty"`
	Revision  Int64 `json:"revision,omitempty"`
	RaftTerm  Int64 `json:"raft_term,omitempty"`
}

// KeyValue is a key with its value, revisions and lease.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Version        Int64  `json:"version,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          Int64  `json:"lease,omitempty"`
}

// RangeRequest reads a key or a range of keys.
type RangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    Int64  `json:"limit,omitempty"`
	Revision Int64  `json:"revision,omitempty"`
}

// RangeResponse is the reply to RangeRequest.
type RangeResponse struct {
	Header *Header    `json:"header,omitempty"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  Int64      `json:"count,omitempty"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key    []byte `json:"key,omitempty"`
	Value  []byte `json:"value,omitempty"`
	Lease  Int64  `json:"lease,omitempty"`
	PrevKV bool   `json:"prev_kv,omitempty"`
}

// PutResponse is the reply to PutRequest.
type PutResponse struct {
	Header *Header   `json:"header,omitempty"`
	PrevKV *KeyValue `json:"prev_kv,omitempty"`
}

// DeleteRangeRequest removes a key or a range of keys.
type DeleteRangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
	PrevKV   bool   `json:"prev_kv,omitempty"`
}

// DeleteRangeResponse is the reply to DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  *Header    `json:"header,omitempty"`
	Deleted Int64      `json:"deleted,omitempty"`
	PrevKvs []KeyValue `json:"prev_kvs,omitempty"`
}

// Values of Compare.Target and Compare.Result. An absent target means CompareVersion, an
// absent result CompareEqual.
const (
	CompareVersion = "VERSION"
	CompareCreate  = "CREATE"
	CompareMod     = "MOD"
	CompareValue   = "VALUE"
	CompareLease   = "LEASE"

	CompareEqual    = "EQUAL"
	CompareGreater  = "GREATER"
	CompareLess     = "LESS"
	CompareNotEqual = "NOT_EQUAL"
)

// Compare is a condition of a transaction.
type Compare struct {
	Result         string `json:"result,omitempty"`
	Target         string `json:"target,omitempty"`
	Key            []byte `json:"key,omitempty"`
	Version        *Int64 `json:"version,omitempty"`
	CreateRevision *Int64 `json:"create_revision,omitempty"`
	ModRevision    *Int64 `json:"mod_revision,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          *Int64 `json:"lease,omitempty"`
	RangeEnd       []byte `json:"range_end,omitempty"`
}

// RequestOp is one operation of a transaction.
type RequestOp struct {
	RequestRange       *RangeRequest       `json:"request_range,omitempty"`
	RequestPut         *PutRequest         `json:"request_put,omitempty"`
	RequestDeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest runs the operations of Success if all conditions hold, and those of Failure
// otherwise.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// ResponseOp is the result of one operation.
type ResponseOp struct {
	ResponseRange       *RangeResponse       `json:"response_range,omitempty"`
	ResponsePut         *PutResponse         `json:"response_put,omitempty"`
	ResponseDeleteRange *DeleteRangeResponse `json:"response_delete_range,omitempty"`
}

// TxnResponse is the reply to TxnRequest.
type TxnResponse struct {
	Header    *Header      `json:"header,omitempty"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// GrantRequest creates a lease. TTL is in seconds.
type GrantRequest struct {
	TTL Int64 `json:"TTL,omitempty"`
	ID  Int64 `json:"ID,omitempty"`
}

// GrantResponse is the reply to GrantRequest.
type GrantResponse struct {
	Header *Header `json:"header,omitempty"`
	ID     Int64   `json:"ID,omitempty"`
	TTL    Int64   `json:"TTL,omitempty"`
	Error  string  `json:"error,omitempty"`
}

// LeaseRequest identifies the lease of a keep-alive or revoke call.
type LeaseRequest struct {
	ID Int64 `json:"ID,omitempty"`
}

// KeepAliveResponse is the reply to a keep-alive call. TTL 0 means that the lease does not
// exist.
type KeepAliveResponse struct {
	Header *Header `json:"header,omitempty"`
	ID     Int64   `json:"ID,omitempty"`
	TTL    Int64   `json:"TTL,omitempty"`
}

// RevokeResponse is the reply to a revoke call.
type RevokeResponse struct {
	Header *Header `json:"header,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	CreateRequest *WatchCreateRequest `json:"create_request,omitempty"`
}

// WatchCreateRequest selects the keys and the first revision of a watch. Revision 0 means
// the next one.
type WatchCreateRequest struct {
	Key           []byte `json:"key,omitempty"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision Int64  `json:"start_revision,omitempty"`
	PrevKV        bool   `json:"prev_kv,omitempty"`
}

// EventDelete is the type of a deletion. The type of a put is omitted.
const EventDelete = "DELETE"

// Event is a change of a watched key.
type Event struct {
	Type   string    `json:"type,omitempty"`
	KV     *KeyValue `json:"kv,omitempty"`
	PrevKV *KeyValue `json:"prev_kv,omitempty"`
}

// WatchResponse is one message of a watch.
type WatchResponse struct {
	Header          *Header `json:"header,omitempty"`
	WatchID         Int64   `json:"watch_id,omitempty"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision Int64   `json:"compact_revision,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// Stream is one message of a call whose reply is a stream.
type Stream[T any] struct {
	Result *T           `json:"result,omitempty"`
	Error  *StreamError `json:"error,omitempty"`
}

// StreamError is the error that ends a stream.
type StreamError struct {
	GRPCCode int    `json:"grpc_code,omitempty"`
	HTTPCode int    `json:"http_code,omitempty"`
	Message  string `json:"message,omitempty"`
}

// Codes of Error.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeFailedPrecond     = 9
	CodeOutOfRange        = 11
	CodeUnimplemented     = 12
	CodeUnavailable       = 14
)

// Error is the reply to a failed call.
type Error struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}
