package experiment

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// pointsPerSlot is the number of virtual nodes on the ring per slot of a target:
// 120 for a target with 3 slots.
const pointsPerSlot = 40

// assigner maps keys to targets.
type assigner interface {
	// owner returns the name of the target that owns a key's hash.
	owner(hash uint64) string
}

// ring is consistent hashing with virtual nodes. The number of a target's virtual nodes
// is proportional to its slots.
type ring []point

type point struct {
	hash uint64
	name string
}

func newRing(targets fleet) ring {
	var r ring
	for _, t := range targets {
		for i := range t.Capacity * pointsPerSlot {
			r = append(r, point{xxhash.Sum64String(t.Name + "/" + strconv.Itoa(i)), t.Name})
		}
	}
	slices.SortFunc(r, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	return r
}

// owner implements assigner: it returns the target of the first point at or after the
// position of the key. The key's hash is hashed again, so that the positions of keys are
// independent of those of the points.
func (r ring) owner(hash uint64) string {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], hash)
	at, _ := slices.BinarySearchFunc(r, xxhash.Sum64(b[:]), func(p point, h uint64) int {
		return cmp.Compare(p.hash, h)
	})
	return r[at%len(r)].name
}

// modulo assigns a hash to a slot by the remainder of its division by the number of slots.
type modulo []string

func newModulo(targets fleet) modulo {
	var m modulo
	for _, t := range targets {
		for range t.Capacity {
			m = append(m, t.Name)
		}
	}
	return m
}

func (m modulo) owner(hash uint64) string { return m[hash%uint64(len(m))] }
