package ownership

import (
	"math"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
)

const (
	// loadWindow is the time constant of the measured load. Two seconds of
	// requests tell a hot key from chance and are short against its life.
	loadWindow = 2 * time.Second
	// blockKeys is the number of neighbouring keys whose load is also kept as a
	// sum. Most keys have no requests, so that most blocks are passed over.
	blockKeys = 64
	// leastLoad is the load below which a key counts as not asked for: less than a
	// thousandth of one request.
	leastLoad = 0.001
)

// loads is the measured load of every key, in requests weighted by their age.
type loads struct {
	keys   [ranges.Keys]float32
	blocks [ranges.Keys / blockKeys]float64
	aged   time.Duration // time of the last aging
}

// add counts a request for a key.
func (l *loads) add(key uint16, weight float32) {
	l.keys[key] += weight
	l.blocks[key/blockKeys] += float64(weight)
}

// age lets the load decay up to a time.
func (l *loads) age(now time.Duration) {
	factor := float32(math.Exp(-float64(now-l.aged) / float64(loadWindow)))
	l.aged = now
	for b, sum := range l.blocks {
		if sum == 0 {
			continue
		}
		sum = 0
		keys := l.keys[b*blockKeys : (b+1)*blockKeys]
		for i, x := range keys {
			if x *= factor; x < leastLoad {
				x = 0
			}
			keys[i] = x
			sum += float64(x)
		}
		l.blocks[b] = sum
	}
}

// total is the load of all keys.
func (l *loads) total() float64 {
	sum := 0.0
	for _, x := range l.blocks {
		sum += x
	}
	return sum
}

// of returns the load of the keys from one to another, both included.
func (l *loads) of(from, to uint16) float64 {
	sum := 0.0
	for k := int(from); k <= int(to); {
		if k%blockKeys == 0 && k+blockKeys-1 <= int(to) {
			sum += l.blocks[k/blockKeys]
			k += blockKeys
			continue
		}
		sum += float64(l.keys[k])
		k++
	}
	return sum
}
