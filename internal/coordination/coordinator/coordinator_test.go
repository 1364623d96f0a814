package coordinator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/coordination/coordinator"
	"github.com/jackdawloom/jackdawloom/internal/proptest"
	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

const (
	voterSeed   = 7_127
	voterChecks = 300
)

// bench drives one coordinator with reports of daemons that keep up with every
// table.
type bench struct {
	machine *coordinator.Machine
	now     time.Time
	seq     uint64
	domains map[table.MemberID]string // of each run
	op      int
}

func newBench(term int64) *bench {
	b := &bench{now: time.Unix(1000, 0), domains: make(map[table.MemberID]string)}
	b.restart(term)
	return b
}

// restart lets a new coordinator take over, which knows the stored table only.
func (b *bench) restart(term int64) {
	var stored *table.Table
	if b.machine != nil {
		stored = b.machine.Stored()
	}
	b.machine = coordinator.New(term, b.now)
	b.machine.SetStored(stored)
	b.machine.SetConfig(&manifest.Accepted{Revision: 1, Manifest: manifest.Manifest{Services: []manifest.Service{{
		Name: "keys", Shards: 8, Targets: []manifest.Target{{Name: "k1", Slots: 3}},
	}}}})
	b.now = b.now.Add(2 * coordinator.JoinGrace)
}

func (b *bench) report(id table.MemberID) {
	b.seq++
	r := peer.Report{From: id, Daemon: string(id.Run()), Domain: b.domains[id.Run()], Sequence: b.seq}
	if t := b.machine.Stored(); t != nil {
		r.Revisions.Table = t.Revision
	}
	b.machine.Report(r, b.now)
}

// store stores proposals until there are none.
func (b *bench) store(t interface{ Fatalf(string, ...any) }) *table.Table {
	for range 50 {
		b.op++
		next := b.machine.Propose(fmt.Sprint("op", b.op), b.now)
		if next == nil {
			return b.machine.Stored()
		}
		b.machine.SetStored(next)
	}
	t.Fatalf("50 tables without a change of the reports")
	return nil
}

// TestVoterSets guards against voter sets of a wrong size, with a repeated or
// unspread voter, that change later, and against daemons that replace their
// memberships without end after one has left.
func TestVoterSets(t *testing.T) {
	proptest.Check(t, voterSeed, voterChecks, func(t *rapid.T) {
		b := newBench(1)
		n := rapid.IntRange(1, 12).Draw(t, "daemons")
		for i := range n {
			run := table.MemberID(fmt.Sprintf("d%d", i))
			b.domains[run] = rapid.SampledFrom([]string{"z0", "z1", "z2"}).Draw(t, "domain")
			b.report(table.NewMemberID(run, 1))
		}
		first := b.store(t)
		for _, m := range first.Members {
			checkVoters(t, b, m, first)
		}
		if n > 1 {
			checkLeave(t, b, first)
		}
	})
}

func checkVoters(t *rapid.T, b *bench, m table.Member, held *table.Table) {
	n := len(held.Members)
	want := map[bool]int{true: 5, false: 3}[n >= 5]
	if n == 1 {
		want = 2
	}
	distinct := slices.Compact(slices.Sorted(slices.Values(m.Voters)))
	if len(m.Voters) != want || len(distinct) != want || m.Voters[0] != m.ID.Run() {
		t.Fatalf("%s of %d has the voters %v", m.ID, n, m.Voters)
	}
	if slices.Contains(m.Voters, table.StoreVoter) != (n < 3) {
		t.Fatalf("%s of %d has the voters %v", m.ID, n, m.Voters)
	}
	used, all := make(map[string]int), make(map[string]int)
	for _, other := range held.Members {
		if other.ID != m.ID {
			all[other.Domain]++
		}
	}
	for _, v := range m.Voters[1:] {
		if v != table.StoreVoter {
			used[b.domains[v]]++
		}
	}
	for x := range all {
		for y := range all {
			if used[x] > used[y]+1 && used[y] < all[y] {
				t.Fatalf("%s has %d voters in %s and %d of %d in %s", m.ID, used[x], x, used[y], all[y], y)
			}
		}
	}
}

// checkLeave drains and removes one member and lets the others replace their
// memberships as daemons do: all together or one by one.
func checkLeave(t *rapid.T, b *bench, before *table.Table) {
	gone := before.Members[rapid.IntRange(0, len(before.Members)-1).Draw(t, "leaves")].ID
	together := rapid.Bool().Draw(t, "together")
	b.machine.Fenced(gone)
	held := b.store(t)
	for _, m := range held.Members {
		if was, _ := before.Member(m.ID); !slices.Equal(was.Voters, m.Voters) {
			t.Fatalf("voters of %s change from %v to %v", m.ID, was.Voters, m.Voters)
		}
	}
	rejoins := 0
	for range len(before.Members) + 1 {
		weak := weakMembers(held)
		if len(weak) == 0 {
			break
		}
		if !together {
			weak = weak[:1]
		}
		rejoins += len(weak)
		held = b.rejoin(t, weak)
	}
	if weak := weakMembers(held); len(weak) > 0 || rejoins > len(held.Members) {
		t.Fatalf("after %d replaced memberships of %d, %v are weak", rejoins, len(held.Members), weak)
	}
	if len(held.Members) >= 4 && len(before.Members[0].Voters) == 5 && rejoins > 0 {
		t.Fatalf("%d memberships replaced although four of five voters are left", rejoins)
	}
}

func weakMembers(held *table.Table) []table.MemberID {
	var out []table.MemberID
	for _, m := range held.Members {
		if coordinator.NeedsRejoin(held, m.ID, nil) {
			out = append(out, m.ID)
		}
	}
	return out
}

// rejoin admits a new membership of each run and then fences the old one, as if
// it had handed everything over.
func (b *bench) rejoin(t *rapid.T, old []table.MemberID) *table.Table {
	for _, id := range old {
		b.op++
		b.report(table.NewMemberID(id.Run(), 1000+b.op))
	}
	b.store(t)
	for _, id := range old {
		b.machine.Fenced(id)
	}
	return b.store(t)
}

// TestEpochsAfterFences guards against a front epoch that is used twice: the
// standby may have succeeded under the next epoch before it was fenced.
func TestEpochsAfterFences(t *testing.T) {
	b := newBench(1)
	for i := range 4 {
		run := table.MemberID(fmt.Sprintf("d%d", i))
		b.domains[run] = fmt.Sprintf("z%d", i%3)
		b.report(table.NewMemberID(run, 1))
	}
	target := b.store(t).Services[0].Targets[0]
	used := target.Epoch + 1
	b.machine.Fenced(target.Standby)
	after := b.store(t).Services[0].Targets[0]
	if after.Standby == "" || after.Epoch <= used {
		t.Fatalf("after the fence of the standby: %+v; epoch %d may be in use", after, used)
	}
	used = after.Epoch + 1
	b.machine.Fenced(after.Front)
	b.machine.Fenced(after.Standby)
	last := b.store(t).Services[0].Targets[0]
	if last.Front == "" || last.Epoch <= used {
		t.Fatalf("after the fence of front and standby: %+v; epoch %d may be in use", last, used)
	}
}

// TestRemovedMembersStayOut guards against the return of a fenced incarnation:
// the next coordinator does not know of the fence, and the incarnation still
// reports.
func TestRemovedMembersStayOut(t *testing.T) {
	b := newBench(1)
	for i := range 4 {
		b.report(table.NewMemberID(table.MemberID(fmt.Sprintf("d%d", i)), 1))
	}
	b.store(t)
	fenced := table.NewMemberID("d1", 1)
	b.machine.Fenced(fenced)
	b.store(t)
	b.restart(2)
	b.report(fenced)
	if held := b.store(t); len(held.Members) != 3 || held.Term != 1 {
		t.Fatalf("members after the report of a fenced incarnation: %+v, term %d", held.Members, held.Term)
	}
	b.report(table.NewMemberID("d1", 2))
	if held := b.store(t); len(held.Members) != 4 {
		t.Fatalf("a new incarnation is not admitted: %+v", held.Members)
	}
}
