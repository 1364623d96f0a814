package admission

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
)

var epoch = time.Unix(1_000_000, 0)

func testClasses() []Class {
	return []Class{
		{Name: "read", Deadline: 200 * time.Millisecond, Objective: 50 * time.Millisecond, Harm: 0},
		{Name: "report", Deadline: 2 * time.Second, Objective: time.Second, Harm: 0},
		{Name: "book", NeverRepeat: true, Deadline: time.Second, Objective: 100 * time.Millisecond, Harm: 1},
	}
}

// model drives a Controller and checks the contract after every call.
type model struct {
	t       *rapid.T
	c       *Controller
	now     time.Time
	slots   int
	bound   int
	nextID  uint64
	queued  map[uint64]Request
	running map[uint64]time.Time
	held    bool
	classes []Class
}

func newModel(t *rapid.T) *model {
	slots := rapid.IntRange(1, 6).Draw(t, "slots")
	perSlot := rapid.IntRange(1, 8).Draw(t, "queue")
	c, err := New(Config{Slots: slots, QueuePerSlot: perSlot, Classes: testClasses()})
	if err != nil {
		t.Fatal(err)
	}
	return &model{
		t: t, c: c, now: epoch, slots: slots, bound: slots * perSlot,
		classes: testClasses(), queued: map[uint64]Request{}, running: map[uint64]time.Time{},
	}
}

func (m *model) apply(ch Changes) {
	for _, s := range ch.Starts {
		r, ok := m.queued[s.ID]
		if !ok || m.held {
			m.t.Fatalf("start of %d: queued %v, held %v", s.ID, ok, m.held)
		}
		if !m.now.Before(r.Deadline) {
			m.t.Fatalf("%d started after its deadline", s.ID)
		}
		if s.Class != r.Class {
			m.t.Fatalf("%d started in class %d, expected %d", s.ID, s.Class, r.Class)
		}
		delete(m.queued, s.ID)
		m.running[s.ID] = m.now
	}
	for _, r := range ch.Removed {
		if _, ok := m.queued[r.ID]; !ok {
			m.t.Fatalf("%d removed but not queued", r.ID)
		}
		delete(m.queued, r.ID)
	}
}

func (m *model) offer(t *rapid.T) {
	m.nextID++
	class := rapid.IntRange(0, len(m.classes)-1).Draw(t, "class")
	left := time.Duration(rapid.IntRange(-5, 400).Draw(t, "left")) * time.Millisecond
	r := Request{
		ID: m.nextID, Class: class, Deadline: m.now.Add(left),
		Caller: rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(t, "caller"),
	}
	d := m.c.Offer(r, m.now)
	if d.Verdict == Queued {
		m.queued[r.ID] = r
	}
	m.apply(d.Changes)
	if d.Verdict == Run {
		if left <= 0 || m.held {
			m.t.Fatalf("started with %v left, held %v", left, m.held)
		}
		m.running[r.ID] = m.now
	}
	if (d.Verdict == Refused) != (d.Reason != "") {
		m.t.Fatalf("verdict %v with reason %q", d.Verdict, d.Reason)
	}
}

func (m *model) done(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	id := drawID(t, m.running)
	result := Result(rapid.IntRange(0, int(resultCount)-1).Draw(t, "result"))
	ran := m.now.Sub(m.running[id])
	delete(m.running, id)
	m.apply(m.c.Done(id, result, ran, m.now))
}

func (m *model) cancel(t *rapid.T) {
	id := uint64(rapid.IntRange(1, int(m.nextID)+1).Draw(t, "id"))
	_, waits := m.queued[id]
	queued, ch := m.c.Cancel(id, m.now)
	if queued != waits {
		m.t.Fatalf("cancel of %d: queued %v, expected %v", id, queued, waits)
	}
	delete(m.queued, id)
	m.apply(ch)
}

func drawID[V any](t *rapid.T, from map[uint64]V) uint64 {
	ids := make([]uint64, 0, len(from))
	for id := range from {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "id")
}

func (m *model) hold(t *rapid.T) {
	if rapid.Bool().Draw(t, "hold") {
		m.held = true
		m.c.Hold()
		return
	}
	m.held = false
	m.apply(m.c.Resume(m.now))
}

func (m *model) tick(*rapid.T) {
	m.apply(m.c.Tick(m.now))
	for id, r := range m.queued {
		if !m.now.Before(r.Deadline) {
			m.t.Fatalf("%d is still queued after its deadline", id)
		}
	}
}

func (m *model) setSlots(t *rapid.T) {
	perSlot := m.bound / m.slots
	m.slots = rapid.IntRange(1, 6).Draw(t, "slots")
	m.bound = perSlot * m.slots
	m.apply(m.c.SetSlots(m.slots, m.now))
}

// reconfigure moves the classes to other indexes or removes one.
func (m *model) reconfigure(t *rapid.T) {
	old := m.classes
	m.classes = rapid.Permutation(testClasses()).Draw(t, "classes")[:rapid.IntRange(1, 3).Draw(t, "count")]
	ch, err := m.c.Reconfigure(Config{Slots: m.slots, QueuePerSlot: m.bound / m.slots, Classes: m.classes}, m.now)
	if err != nil {
		t.Fatal(err)
	}
	for id, r := range m.queued {
		name := old[r.Class].Name
		r.Class = slices.IndexFunc(m.classes, func(c Class) bool { return c.Name == name })
		m.queued[id] = r
	}
	m.apply(ch)
	for id, r := range m.queued {
		if r.Class < 0 {
			t.Fatalf("%d is still queued in a class that no longer exists", id)
		}
	}
}

func (m *model) abort(*rapid.T) {
	m.apply(Changes{Removed: m.c.Abort(ReasonDraining)})
	if len(m.queued) > 0 {
		m.t.Fatalf("%d requests are still queued after Abort", len(m.queued))
	}
}

// check compares the controller's state with the model's: nothing is lost or
// counted twice, and a startable request does not wait beside a free slot.
func (m *model) check(t *rapid.T) {
	s := m.c.Stats()
	if s.Running != len(m.running) || s.Queued != len(m.queued) || len(m.c.items) != s.Running+s.Queued {
		t.Fatalf("running %d, queued %d; expected %d and %d", s.Running, s.Queued, len(m.running), len(m.queued))
	}
	if s.Limit < 1 || s.Limit > float64(m.slots) || s.QueueBound != m.bound {
		t.Fatalf("limit %v of %d slots, queue bound %d of %d", s.Limit, m.slots, s.QueueBound, m.bound)
	}
	if m.held || s.Queued == 0 || s.Running >= int(s.Limit) {
		return
	}
	for i := range m.c.classes {
		class := &m.c.classes[i]
		if class.queued > 0 && m.c.mayStart(class, m.now) {
			t.Fatalf("class %s waits beside a free slot: %+v", class.Name, s)
		}
	}
}

// Guards against more running requests than slots, lost or doubly ended
// requests, idle slots, starts while held and starts after the deadline.
func TestControllerContract(t *testing.T) {
	proptest.Check(t, 11, 400, func(t *rapid.T) {
		m := newModel(t)
		actions := []func(*rapid.T){
			m.offer, m.offer, m.offer, m.offer, m.done, m.done, m.done, m.cancel, m.tick, m.tick,
		}
		rare := []func(*rapid.T){m.hold, m.hold, m.setSlots, m.reconfigure, m.abort}
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "gap")) * time.Microsecond)
			before := len(m.running)
			if rapid.IntRange(0, 20).Draw(t, "rare") == 0 {
				rapid.SampledFrom(rare).Draw(t, "action")(t)
			} else {
				rapid.SampledFrom(actions).Draw(t, "action")(t)
			}
			if len(m.running) > before && len(m.running) > m.slots {
				t.Fatalf("%d running with %d slots", len(m.running), m.slots)
			}
			m.check(t)
		}
	})
}
