package upstream

import (
	"hash/maphash"
	"slices"
	"time"
)

const (
	// minIDRetention is how long an ID is kept at least. Callers may use an ID again for a
	// request that they repeat.
	minIDRetention = 10 * time.Second
	// maxSentIDs bounds the memory of a history. A connection whose history is full is not
	// reused.
	maxSentIDs = 1024
)

var idHashSeed = maphash.MakeSeed()

// sentIDs is the history of the request IDs that were sent on a connection. An ID is kept until the
// request can no longer be sent again.
//
// Only a hash of each ID is kept. If two IDs have the same hash, a request gets another connection
// without need.
type sentIDs struct{ entries []sentID }

type sentID struct {
	hash  uint64
	until time.Duration // on package clock
}

// add records a request that may be sent again within the given time.
func (s *sentIDs) add(id string, now, timeLeft time.Duration) {
	if len(s.entries) == cap(s.entries) {
		s.prune(now)
	}
	s.entries = append(s.entries, sentID{maphash.String(idHashSeed, id), now + max(timeLeft, minIDRetention)})
}

// contains reports whether a request with the ID was sent, as far as is known.
func (s *sentIDs) contains(id string) bool {
	hash := maphash.String(idHashSeed, id)
	return slices.ContainsFunc(s.entries, func(e sentID) bool { return e.hash == hash })
}

// isFull reports whether there is no room for another ID.
func (s *sentIDs) isFull(now time.Duration) bool {
	if len(s.entries) < maxSentIDs {
		return false
	}
	s.prune(now)
	return len(s.entries) >= maxSentIDs
}

func (s *sentIDs) prune(now time.Duration) {
	s.entries = slices.DeleteFunc(s.entries, func(e sentID) bool { return e.until < now })
}
