package memstore

import "maps"

// Call is a kind of call to the store.
type Call string

// Kinds of calls.
const (
	CallRange       Call = "range"
	CallTxn         Call = "txn"
	CallPut         Call = "put"
	CallDeleteRange Call = "deleterange"
	CallGrant       Call = "lease_grant"
	CallKeepAlive   Call = "lease_keepalive"
	CallRevoke      Call = "lease_revoke"
	CallWatch       Call = "watch"
)

func (c Call) isWrite() bool {
	return c == CallTxn || c == CallPut || c == CallDeleteRange
}

func (c Call) isLeaseCall() bool {
	return c == CallGrant || c == CallKeepAlive || c == CallRevoke
}

// Counters counts the calls since the store was created, including failed ones. A watch
// counts as one call, however many events it delivers.
type Counters struct {
	Calls       map[Call]int64 `json:"calls"`
	Total       int64          `json:"total"`
	OpenWatches int64          `json:"open_watches"`
}

func (c *Counters) count(call Call) {
	if c.Calls == nil {
		c.Calls = make(map[Call]int64)
	}
	c.Calls[call]++
	c.Total++
}

func (c *Counters) clone() Counters {
	out := *c
	out.Calls = maps.Clone(c.Calls)
	if out.Calls == nil {
		out.Calls = map[Call]int64{}
	}
	return out
}
