package experiment

import (
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/hotkey"
)

const (
	// utilization is the mean load of a target relative to its slots.
	utilization = 0.7
	// reportedKeys is how many of the hottest keys the planner is told of.
	reportedKeys = 64
	// planInterval and planRounds give the planner ten minutes of constant load,
	// so that all its hysteresis can expire.
	planInterval = 10 * time.Second
	planRounds   = 60
)

// overrides is an assignment with exceptions for hot keys.
type overrides struct {
	shards
	keys map[uint64]uint16
}

func (o overrides) owner(hash uint64) string {
	if t, ok := o.keys[hash]; ok {
		return o.names[t]
	}
	return o.shards.owner(hash)
}

// moveHotKeys lets the hot key planner act on constant loads. It returns the
// assignment and the number of moves. The loads are the demand, also above a
// target's capacity.
func moveHotKeys(f fleet, keys []key, s shards, never bool) (overrides, int) {
	o := overrides{shards: s, keys: map[uint64]uint16{}}
	planner := hotkey.NewPlanner(hotkey.Config{})
	now, moves := time.Unix(1_000_000, 0), 0
	for range planRounds {
		for _, m := range planner.Plan(hotInput(f, keys, o, never), now) {
			moves++
			if m.Kind == hotkey.Return {
				delete(o.keys, m.Hash)
				continue
			}
			o.keys[m.Hash] = m.To
		}
		now = now.Add(planInterval)
	}
	return o, moves
}

func hotInput(f fleet, keys []key, o overrides, never bool) hotkey.Input {
	total := utilization * float64(f.slots())
	in := hotkey.Input{Targets: make([]hotkey.Target, len(f))}
	index := map[string]int{}
	for i, t := range f {
		in.Targets[i] = hotkey.Target{Capacity: float64(t.Capacity), Usable: true}
		index[t.Name] = i
	}
	for i, k := range keys {
		in.Targets[index[o.owner(k.hash)]].Load += k.load * total
		if i >= reportedKeys {
			continue
		}
		home := o.owners[k.hash%shardCount]
		load := hotkey.KeyLoad{Hash: k.hash, Load: k.load * total}
		if never {
			load.NeverRepeat = load.Load
		}
		in.Keys = append(in.Keys, hotkey.Key{KeyLoad: load, Home: home})
		if owner, ok := o.keys[k.hash]; ok {
			in.Overrides = append(in.Overrides, hotkey.Override{Hash: k.hash, Owner: owner, Home: home})
		}
	}
	return in
}
