package experiment

import (
	"slices"
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
	hot, cold := keys[:reportedKeys], targetLoads(f, keys[reportedKeys:], s)
	now, moves := time.Unix(1_000_000, 0), 0
	for range planRounds {
		for _, m := range planner.Plan(hotInput(cold, hot, o, never), now) {
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

// targetLoads returns the state of the targets with the keys' loads in slots.
func targetLoads(f fleet, keys []key, s shards) []hotkey.Target {
	targets := make([]hotkey.Target, len(f))
	for i, t := range f {
		targets[i] = hotkey.Target{Capacity: float64(t.Capacity), Usable: true}
	}
	for _, k := range keys {
		targets[s.owners[k.hash%shardCount]].Load += k.load * demand(targets)
	}
	return targets
}

// demand returns the load of the whole service in slots.
func demand(targets []hotkey.Target) float64 {
	var slots float64
	for _, t := range targets {
		slots += t.Capacity
	}
	return utilization * slots
}

// hotInput adds the hot keys to the loads of all other keys.
func hotInput(cold []hotkey.Target, hot []key, o overrides, never bool) hotkey.Input {
	in := hotkey.Input{Targets: slices.Clone(cold)}
	for _, k := range hot {
		home := o.owners[k.hash%shardCount]
		load := hotkey.KeyLoad{Hash: k.hash, Load: k.load * demand(cold)}
		if never {
			load.NeverRepeat = load.Load
		}
		owner, moved := o.keys[k.hash]
		if moved {
			in.Overrides = append(in.Overrides, hotkey.Override{Hash: k.hash, Owner: owner, Home: home})
		} else {
			owner = home
		}
		in.Targets[owner].Load += load.Load
		in.Keys = append(in.Keys, hotkey.Key{KeyLoad: load, Home: home})
	}
	return in
}
