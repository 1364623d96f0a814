package manifest

import (
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
)

// Guards against shards that overlap or leave points out, and against spans whose end
// points are mapped to another shard.
func TestShardsDividePoints(t *testing.T) {
	proptest.Check(t, 7, 300, func(t *rapid.T) {
		s := Service{Shards: rapid.IntRange(1, MaxShards).Draw(t, "shards")}
		shard := rapid.IntRange(0, s.Shards-1).Draw(t, "shard")
		from, to := s.ShardSpan(shard)
		if to < from || s.ShardOf(from) != shard || s.ShardOf(to) != shard {
			t.Fatalf("shard %d of %d: points %d to %d are in shards %d and %d", shard, s.Shards, from, to, s.ShardOf(from), s.ShardOf(to))
		}
		if to < KeySpaceSize-1 && s.ShardOf(to+1) != shard+1 {
			t.Fatalf("point %d after shard %d of %d is in shard %d", to+1, shard, s.Shards, s.ShardOf(to+1))
		}
	})
}

// Guards against an uneven distribution of similar keys over the points.
func TestKeysSpreadOverPoints(t *testing.T) {
	for _, shards := range []int{1, 64, 1000, MaxShards} {
		s := Service{Shards: shards}
		const keys, parts = 64_000, 64
		var counts [parts]int
		for i := range keys {
			counts[int(s.Point("key-"+strconv.Itoa(i)))*parts/KeySpaceSize]++
		}
		for i, n := range counts {
			// 1000 keys are expected, with a standard deviation of 32. Shards that do
			// not divide the points evenly add a tenth.
			if n < 750 || n > 1250 {
				t.Errorf("%d shards: got %d keys in part %d of %d, want 750 to 1250", shards, n, i, parts)
			}
		}
	}
}
