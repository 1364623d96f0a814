package admission

import "time"

// Reconfigure replaces the configuration. Classes are matched by name and keep
// their queues and learned costs; their indexes change to those of the new
// configuration. Queued requests of classes that no longer exist are removed,
// and running ones keep their slots. On an error nothing changes.
func (t *Controller) Reconfigure(c Config, now time.Time) (Changes, error) {
	if err := c.validate(); err != nil {
		return Changes{}, err
	}
	var ch Changes
	index := t.removeMissing(c.Classes, &ch)
	t.replaceClasses(c.Classes, index)
	t.slots, t.bound = c.Slots, c.queueBound()
	t.limit.setSlots(c.Slots)
	t.dispatch(now, &ch)
	return ch, nil
}

// removeMissing empties the queues of classes that are not in the new ones and
// returns the new index of each old class, or -1.
func (t *Controller) removeMissing(classes []Class, ch *Changes) []int {
	byName := make(map[string]int, len(classes))
	for i, class := range classes {
		byName[class.Name] = i
	}
	index := make([]int, len(t.classes))
	for i := range t.classes {
		to, ok := byName[t.classes[i].Name]
		if !ok {
			to = -1
			t.abort(&t.classes[i], ReasonDraining, ch)
		}
		index[i] = to
	}
	return index
}

func (t *Controller) replaceClasses(classes []Class, index []int) {
	next := make([]classState, len(classes))
	for i, class := range classes {
		next[i] = class.state()
	}
	for from, to := range index {
		if to < 0 {
			continue
		}
		class := next[to].Class
		next[to] = t.classes[from]
		next[to].Class = class
	}
	for _, it := range t.items {
		if it.class >= 0 {
			it.class = index[it.class]
		}
	}
	t.classes = next
}
