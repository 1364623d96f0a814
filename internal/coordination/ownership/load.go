package ownership

import (
	"math"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
)

const (
	// loadWindow is the time constant with which the measured load decays. Two seconds
	// are long enough to distinguish a hot key from random variation, and short compared
	// with the time for which a key is hot.
	loadWindow = 2 * time.Second
	// blockSize is the number of adjacent keys whose total load is also stored. Most keys
	// have no requests, so most blocks can be skipped.
	blockSize = 64
	// minLoad is the load below which a key's load is set to 0: a thousandth of one
	// request.
	minLoad = 0.001
)

// keyLoads is the measured load of every key: the number of its requests with
// exponential decay.
type keyLoads struct {
	keys      [ranges.KeyCount]float32
	blocks    [ranges.KeyCount / blockSize]float64
	decayedAt time.Duration // time of the last decay
}

// add counts a request of the given weight for a key.
func (l *keyLoads) add(key uint16, weight float32) {
	l.keys[key] += weight
	l.blocks[key/blockSize] += float64(weight)
}

// decay applies the exponential decay since the last call to all loads.
func (l *keyLoads) decay(now time.Duration) {
	factor := float32(math.Exp(-float64(now-l.decayedAt) / float64(loadWindow)))
	l.decayedAt = now
	for b, sum := range l.blocks {
		if sum == 0 {
			continue
		}
		sum = 0
		keys := l.keys[b*blockSize : (b+1)*blockSize]
		for i, x := range keys {
			if x *= factor; x < minLoad {
				x = 0
			}
			keys[i] = x
			sum += float64(x)
		}
		l.blocks[b] = sum
	}
}

// total returns the load of all keys.
func (l *keyLoads) total() float64 {
	sum := 0.0
	for _, x := range l.blocks {
		sum += x
	}
	return sum
}

// rangeLoad returns the load of the keys from..to, both included.
func (l *keyLoads) rangeLoad(from, to uint16) float64 {
	sum := 0.0
	for k := int(from); k <= int(to); {
		if k%blockSize == 0 && k+blockSize-1 <= int(to) {
			sum += l.blocks[k/blockSize]
			k += blockSize
			continue
		}
		sum += float64(l.keys[k])
		k++
	}
	return sum
}
