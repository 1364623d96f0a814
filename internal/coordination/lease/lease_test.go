package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
	"pgregory.net/rapid"
)

const storeTTL = 2 * time.Second

// world is a fleet of daemons, each one incarnation at a time, and the network
// between them. Index len(daemons) stands for the store.
type world struct {
	t        *rapid.T
	now      time.Duration
	daemons  []*daemon
	tables   [][]member // by revision
	network  []message
	blocked  map[[2]int]bool
	store    proptest.Clock
	presence map[table.MemberID]time.Time
	// withdrawn holds the votes that were ended for good.
	withdrawn map[ballot]bool
	ended     map[table.MemberID]bool
	wake      time.Duration // when the last fence was told to ask again
}

type ballot struct{ member, voter table.MemberID }

type member struct {
	id     table.MemberID
	daemon int
	voters []table.MemberID
}

type daemon struct {
	clock   proptest.Clock
	id      table.MemberID
	runs    int
	holder  *Holder
	voter   *Voter
	fencers map[table.MemberID]*Fencer
	seq     uint64
	rev     int // of the table that it has applied
	paused  bool
}

type message struct {
	from, to int
	deliver  func()
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, blocked: map[[2]int]bool{}, presence: map[table.MemberID]time.Time{},
		withdrawn: map[ballot]bool{}, ended: map[table.MemberID]bool{},
		store: proptest.DrawClock(t, "store"), tables: [][]member{nil},
	}
	n := rapid.SampledFrom([]int{2, 3, 5}).Draw(t, "daemons")
	for i := range n {
		w.daemons = append(w.daemons, &daemon{clock: proptest.DrawClock(t, "clock")})
		w.start(i)
	}
	var first []member
	for i := range w.daemons {
		first = append(first, w.member(i))
	}
	w.tables = append(w.tables, first)
	for i := range w.daemons {
		w.join(i)
	}
	return w
}

// start begins a new incarnation that is in no table yet.
func (w *world) start(i int) {
	d := w.daemons[i]
	d.runs++
	d.id = table.MemberID(fmt.Sprintf("d%d.%d", i, d.runs))
	d.voter, d.holder = NewVoter(d.id), nil
	d.fencers = map[table.MemberID]*Fencer{}
	d.rev, d.paused = 0, false
	w.presence[d.id] = w.store.At(w.now).Add(storeTTL)
}

func (w *world) member(i int) member {
	m := member{id: w.daemons[i].id, daemon: i}
	for _, d := range w.daemons {
		m.voters = append(m.voters, d.id)
	}
	if len(w.daemons) == 2 {
		m.voters = append(m.voters, table.StoreVoter)
	}
	return m
}

// join applies the newest table. A new incarnation's lease starts with it.
func (w *world) join(i int) {
	d := w.daemons[i]
	d.rev = len(w.tables) - 1
	var ids []table.MemberID
	for _, m := range w.tables[d.rev] {
		ids = append(ids, m.id)
		if m.id == d.id && d.holder == nil {
			d.holder = NewHolder(d.id, m.voters)
		}
	}
	d.voter.Retain(ids)
}

// rewrite publishes a table with all present incarnations, without the members
// whose lease was ended or that the draw removes while their daemon is gone.
func (w *world) rewrite() {
	var next []member
	for _, m := range w.tables[len(w.tables)-1] {
		if !w.ended[m.id] {
			next = append(next, m)
		}
	}
	for i, d := range w.daemons {
		if d.holder == nil && !slices.ContainsFunc(next, func(m member) bool { return m.id == d.id }) {
			next = append(next, w.member(i))
		}
	}
	w.tables = append(w.tables, next)
}

func (w *world) post(from, to int, deliver func()) {
	w.network = append(w.network, message{from: from, to: to, deliver: deliver})
}

func (w *world) daemonOf(id table.MemberID) int {
	if id == table.StoreVoter {
		return len(w.daemons)
	}
	return int(id[1] - '0')
}

func (w *world) heartbeat(i int) {
	d := w.daemons[i]
	if d.holder == nil || d.paused {
		return
	}
	h, id, sent := d.holder, d.id, d.clock.At(w.now)
	d.seq++
	seq := d.seq
	for _, v := range h.Voters() {
		h.Sent(v, seq, sent)
		j := w.daemonOf(v)
		w.post(i, j, func() {
			renewed, fenced := w.daemons[j].voter.Heartbeat(id, v, w.daemons[j].clock.At(w.now))
			w.post(j, i, func() { h.Reply(v, seq, renewed, fenced, d.clock.At(w.now)) })
		})
	}
	w.renewPresence(i, h, id, sent)
}

func (w *world) renewPresence(i int, h *Holder, id table.MemberID, sent time.Time) {
	w.post(i, len(w.daemons), func() {
		now := w.store.At(w.now)
		if !now.Before(w.presence[id]) {
			w.post(len(w.daemons), i, func() { w.losePresence(i, h, id) })
			return
		}
		w.presence[id] = now.Add(storeTTL)
		w.post(len(w.daemons), i, func() { h.StoreRenewed(sent, storeTTL) })
	})
}

// losePresence creates the key again, against the rule, which must give no vote.
func (w *world) losePresence(i int, h *Holder, id table.MemberID) {
	h.StoreLost()
	w.withdrawn[ballot{id, table.StoreVoter}] = true
	w.post(i, len(w.daemons), func() { w.presence[id] = w.store.At(w.now).Add(storeTTL) })
}

// fence makes daemon i ask the voters of a member of its table.
func (w *world) fence(i int, m member) {
	d := w.daemons[i]
	if d.paused || m.id == d.id {
		return
	}
	if d.fencers[m.id] == nil {
		d.fencers[m.id] = NewFencer(m.id, m.voters)
	}
	f := d.fencers[m.id]
	for _, v := range m.voters {
		j := w.daemonOf(v)
		w.post(i, j, func() {
			if w.agree(m.id, v, j) {
				w.post(j, i, func() { w.collect(f, m.id, v) })
			}
		})
	}
}

func (w *world) agree(id, v table.MemberID, j int) bool {
	if v == table.StoreVoter {
		w.wake = w.presence[id].Sub(w.store.At(w.now))
		return w.wake <= 0
	}
	agreed, remaining := w.daemons[j].voter.Fence(id, v, w.daemons[j].clock.At(w.now))
	w.wake = remaining
	if agreed {
		w.withdrawn[ballot{id, v}] = true
	}
	return agreed
}

func (w *world) collect(f *Fencer, id, v table.MemberID) {
	f.Agreed(v)
	if f.Done() {
		w.ended[id] = true
	}
}

func (w *world) open(m message) bool {
	to := m.to
	return !w.blocked[[2]int{m.from, to}] && (to == len(w.daemons) || !w.daemons[to].paused)
}

// swiftly delivers the messages that act causes, with their answers, as far as
// links and daemons allow. Older messages stay delayed.
func (w *world) swiftly(act func()) {
	delayed := w.network
	w.network = nil
	act()
	w.flush()
	w.network = delayed
}

func (w *world) flush() {
	for len(w.network) > 0 {
		w.round()
	}
}

// round delivers all messages; their answers stay in the network.
func (w *world) round() {
	batch := w.network
	w.network = nil
	for _, m := range batch {
		if w.open(m) {
			m.deliver()
		}
	}
}

// step makes one random thing happen.
func (w *world) step() {
	i := rapid.IntRange(0, len(w.daemons)-1).Draw(w.t, "daemon")
	d := w.daemons[i]
	switch rapid.IntRange(0, 15).Draw(w.t, "step") {
	case 0, 1:
		w.now += time.Duration(rapid.IntRange(1, 300_000).Draw(w.t, "µs")) * time.Microsecond
	case 2:
		w.now += max(w.wake, 0)
	case 3:
		w.heartbeat(i)
	case 4:
		w.heartbeat(i)
		w.round()
	case 5, 6:
		w.swiftly(func() { w.heartbeat(i) })
	case 7, 8:
		w.deliver()
	case 9, 10:
		if members := w.tables[d.rev]; len(members) > 0 {
			m := rapid.SampledFrom(members).Draw(w.t, "member")
			w.swiftly(func() { w.fence(i, m) })
		}
	case 11:
		w.join(i)
	case 12:
		link := [2]int{i, rapid.IntRange(0, len(w.daemons)).Draw(w.t, "to")}
		w.blocked[link] = !w.blocked[link]
	case 13:
		d.paused = !d.paused
	case 14:
		w.start(i)
		w.rewrite()
		w.join(i)
	case 15:
		w.rewrite()
	}
}

// deliver delivers, duplicates or loses one message, not always the oldest.
func (w *world) deliver() {
	if len(w.network) == 0 {
		return
	}
	// Older messages are lost, so that the rest are delivered often enough.
	w.network = w.network[max(0, len(w.network)-8):]
	k := rapid.IntRange(0, len(w.network)-1).Draw(w.t, "message")
	m := w.network[k]
	fate := rapid.IntRange(0, 3).Draw(w.t, "fate")
	if fate != 0 {
		w.network = slices.Delete(w.network, k, k+1)
	}
	if fate != 1 && w.open(m) {
		m.deliver()
	}
}

// check asserts that an ended incarnation has no authority, whatever its
// daemon does.
func (w *world) check() {
	for _, d := range w.daemons {
		if d.holder == nil || !w.ended[d.id] {
			continue
		}
		// The reserve is for delays between check and use; it must not be
		// needed here.
		if left := d.holder.ValidUntil().Sub(d.clock.At(w.now)); left > 0 {
			w.t.Fatalf("%s is fenced and its votes are valid for %s", d.id, left)
		}
	}
}

// settle lets everything work for a while and asserts that members with a
// majority of willing voters get authority, and gone members are fenced.
func (w *world) settle() {
	clear(w.blocked)
	for i, d := range w.daemons {
		d.paused = false
		w.join(i)
	}
	w.flush()
	for range 12 {
		w.now += table.HeartbeatInterval
		for i := range w.daemons {
			w.heartbeat(i)
			w.fenceGone(i)
		}
		w.flush()
		w.check()
	}
	for _, m := range w.tables[len(w.tables)-1] {
		w.checkSettled(m)
	}
}

func (w *world) gone(m member) bool { return w.daemons[m.daemon].id != m.id }

func (w *world) fenceGone(i int) {
	for _, m := range w.tables[w.daemons[i].rev] {
		if w.gone(m) {
			w.fence(i, m)
		}
	}
}

func (w *world) checkSettled(m member) {
	d := w.daemons[m.daemon]
	willing := 0
	for _, v := range m.voters {
		present := v == table.StoreVoter || w.daemons[w.daemonOf(v)].id == v
		if present && (w.gone(m) || !w.withdrawn[ballot{m.id, v}]) {
			willing++
		}
	}
	if willing < majority(m.voters) {
		return
	}
	if w.gone(m) && !w.ended[m.id] {
		w.t.Fatalf("%s is gone and was not fenced", m.id)
	}
	if !w.gone(m) && !d.holder.HasAuthority(d.clock.At(w.now)) {
		w.t.Fatalf("%s has no authority with %d willing voters of %v", m.id, willing, m.voters)
	}
}

// TestFencedHolderHasNoAuthority guards against two daemons that hold
// authority for the same targets: a holder that counts votes after a majority
// agreed to its fence. It also guards against leases that are never given or
// never ended when nothing fails.
func TestFencedHolderHasNoAuthority(t *testing.T) {
	proptest.Check(t, 1, 4000, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			w.step()
			w.check()
		}
		w.settle()
	})
}

// TestVotesOfOthersAreNotCounted guards against votes that no voter's promise
// stands behind: a restarted voter that answers for its predecessor, a repeated
// answer taken for the next heartbeat's, and a member that agrees to its fence.
func TestVotesOfOthersAreNotCounted(t *testing.T) {
	start := time.Unix(0, 0)
	voters := []table.MemberID{"a", "b", "c"}
	v := NewVoter("b2")
	v.Retain([]table.MemberID{"a", "b2", "c"})
	if renewed, _ := v.Heartbeat("a", "b", start); renewed {
		t.Error("a restarted voter renewed for its predecessor")
	}
	h := NewHolder("a", voters)
	h.Sent("b", 1, start)
	h.Reply("b", 1, true, false, start)
	h.Sent("b", 2, start.Add(time.Second))
	h.Reply("b", 1, true, false, start.Add(time.Second))
	if want := start.Add(certain(table.VoteLife)); h.ValidUntil() != want {
		t.Errorf("repeated answer: votes valid until %s, want %s", h.ValidUntil(), want)
	}
	if agreed, _ := v.Fence("b2", "b2", start); agreed {
		t.Error("a member agreed to its own fence")
	}
	f := NewFencer("a", voters)
	f.Agreed("a")
	f.Agreed("b")
	if f.Done() {
		t.Error("fence done by the member's own agreement")
	}
}
