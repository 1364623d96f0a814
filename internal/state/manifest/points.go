package manifest

import "github.com/cespare/xxhash/v2"

// KeySpaceSize is the number of points in a service's key space. Every key is hashed to
// one point, and a shard is a range of consecutive points.
const KeySpaceSize = 1 << 16

// Point returns the point to which a key is hashed.
func (s *Service) Point(key string) uint16 {
	hash := xxhash.Sum64String(key)
	shards := uint64(s.Shards)
	from, to := s.ShardSpan(int(hash % shards))
	width := uint64(to) - uint64(from) + 1
	return from + uint16(hash/shards%width)
}

// ShardSpan returns the first and the last point of a shard.
func (s *Service) ShardSpan(shard int) (from, to uint16) {
	first := func(n int) int { return (n*KeySpaceSize + s.Shards - 1) / s.Shards }
	return uint16(first(shard)), uint16(first(shard+1) - 1)
}

// ShardOf returns the shard that contains a point.
func (s *Service) ShardOf(point uint16) int { return int(point) * s.Shards / KeySpaceSize }
