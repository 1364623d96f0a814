package manifest

import (
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
)

// Guards against shards that overlap or leave points out, and against keys whose
// point is not of their shard.
func TestShardsDividePoints(t *testing.T) {
	proptest.Check(t, 7, 300, func(t *rapid.T) {
		s := Service{Shards: rapid.IntRange(1, MaxShards).Draw(t, "shards")}
		shard := rapid.IntRange(0, s.Shards-1).Draw(t, "shard")
		from, to := s.ShardSpan(shard)
		if to < from || s.ShardOf(from) != shard || s.ShardOf(to) != shard {
			t.Fatalf("shard %d of %d: points %d to %d are of shards %d and %d", shard, s.Shards, from, to, s.ShardOf(from), s.ShardOf(to))
		}
		if to < Points-1 && s.ShardOf(to+1) != shard+1 {
			t.Fatalf("point %d after shard %d of %d is of shard %d", to+1, shard, s.Shards, s.ShardOf(to+1))
		}
	})
}

// Guards against keys that crowd together: neighbouring names must spread.
func TestKeysSpreadOverPoints(t *testing.T) {
	for _, shards := range []int{1, 64, 1000, MaxShards} {
		s := Service{Shards: shards}
		const keys, parts = 64_000, 64
		var counts [parts]int
		for i := range keys {
			counts[int(s.Point("key-"+strconv.Itoa(i)))*parts/Points]++
		}
		for i, n := range counts {
			// A thousand keys are expected, with a standard deviation of 32; shards
			// that do not divide the points evenly add a tenth.
			if n < 750 || n > 1250 {
				t.Errorf("%d shards: %d keys in part %d of %d", shards, n, i, parts)
			}
		}
	}
}
