package topo

import "errors"

// A store that was restored from a copy has lost its latest changes and gives their revisions out
// again. A store that can be restored counts its restorations as eras. All revisions of this
// package are positions in the store: an era and a revision, which compare by the era first. The
// positions of a store without eras, and those of era 0, are its revisions.
const (
	// revsPerEra is the distance between the positions of consecutive eras. It is a decimal number
	// so that positions in logs can be read.
	revsPerEra = 10_000_000_000_000
	// MaxEra is the highest era. With it, positions fit an int64 and the fences of an era
	// (see package ranges) a JSON number.
	MaxEra = 1<<19 - 1
)

// ErrEarlierEra is returned together with ErrLeaseNotFound for a lease of an earlier era. Unlike an
// expired one it may have been in force until the store was restored.
var ErrEarlierEra = errors.New("store was restored from a copy")

// Position returns the position of a revision of an era. The revision is limited to those that an
// era can have.
func Position(era, rev int64) int64 {
	if era == 0 {
		return rev
	}
	return era*revsPerEra + min(rev, revsPerEra-1)
}

// EraOf returns the era of a position.
func EraOf(position int64) int64 { return position / revsPerEra }

// RevOf returns the revision of a position in the store.
func RevOf(position int64) int64 { return position % revsPerEra }
