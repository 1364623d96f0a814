package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// runDocuments puts new documents in force until ctx ends.
func (d *Daemon) runDocuments(ctx context.Context) error {
	d.askSeeds()
	for {
		snap, changed := d.docs.wait()
		d.putInForce(snap, time.Now())
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *Daemon) putInForce(s *snapshot, now time.Time) {
	if s.table != nil {
		d.learnAddresses(s.table)
		d.retainVotes(s.table)
		d.forgetFenced(s.table)
		for _, m := range d.memberships() {
			m.adopt(s.table, now)
		}
		d.leaveOld()
	}
	d.fronts.apply(s, now)
	if s.table != nil {
		d.dropMemberships(s.table)
	}
	_ = d.heartbeatNow.TryPut(struct{}{})
	d.reportNow()
}

func (d *Daemon) retainVotes(t *table.Table) {
	ids := make([]table.MemberID, len(t.Members))
	for i, m := range t.Members {
		ids[i] = m.ID
	}
	d.voterMu.Lock()
	defer d.voterMu.Unlock()
	d.voter.Retain(ids)
}

// askSeeds fetches documents from the daemons named in the settings, so that a
// daemon that starts during a store outage can serve as an entry.
func (d *Daemon) askSeeds() {
	for _, seed := range d.set.Peers.Seeds {
		if address := seed.String(); address != d.net.Addr() {
			_ = d.pulls.TryPut(address)
		}
	}
}

// compareRevisions fetches documents from a peer that has newer ones.
func (d *Daemon) compareRevisions(address string, theirs peer.Revisions) {
	ours := d.docs.get().revisions()
	if theirs.Config > ours.Config || theirs.Table > ours.Table {
		_ = d.pulls.TryPut(address)
	}
}

// seedInterval is how often a daemon without documents asks its seeds.
const seedInterval = time.Second

// runPulls fetches documents from peers until ctx ends.
func (d *Daemon) runPulls(ctx context.Context) error {
	ticker := time.NewTicker(seedInterval)
	defer ticker.Stop()
	for {
		select {
		case address := <-d.pulls.Out():
			d.pull(ctx, address)
		case <-ticker.C:
			if s := d.docs.get(); s.config == nil || s.table == nil {
				d.askSeeds()
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *Daemon) pull(ctx context.Context, address string) {
	ask := peer.Documents{Revisions: d.docs.get().revisions()}
	var reply peer.Documents
	if err := d.call(ctx, address, peer.PathDocument, ask, &reply); err != nil {
		return
	}
	if err := d.docs.offer(reply); err != nil {
		d.metrics.badDocuments.Inc(1)
		d.log.Warn("fetched document rejected", slog.String("peer", address), slog.Any("error", err))
	}
}

// announce sends a changed document to every other daemon of the table, so that
// the change does not wait for the next heartbeat. The message is encoded once.
func (d *Daemon) announce(ctx context.Context, changed peer.Documents) {
	s := d.docs.get()
	if s.table == nil {
		return
	}
	changed.Revisions = s.revisions()
	encoded, err := peer.Encode(changed)
	if err != nil {
		d.log.Error("announcement not encoded", slog.Any("error", err))
		return
	}
	sent := map[string]bool{d.net.Addr(): true}
	for _, m := range s.table.Members {
		if sent[m.Address] {
			continue
		}
		sent[m.Address] = true
		go func() {
			var reply peer.Documents
			_ = d.send(context.WithoutCancel(ctx), m.Address, peer.PathDocument, encoded, &reply)
		}()
	}
}

// reportNow makes the next report due.
func (d *Daemon) reportNow() { _ = d.reportWanted.TryPut(struct{}{}) }

// runReports reports to the coordinator until ctx ends.
func (d *Daemon) runReports(ctx context.Context) error {
	ticker := time.NewTicker(table.HeartbeatInterval)
	defer ticker.Stop()
	for {
		for _, m := range d.memberships() {
			d.report(ctx, m)
		}
		select {
		case <-ticker.C:
		case <-d.reportWanted.Out():
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *Daemon) report(ctx context.Context, m *membership) {
	if !d.readyToJoin(m) {
		return
	}
	r := d.buildReport(m, time.Now())
	address, _ := d.coordinatorHint()
	switch address {
	case "":
	case d.net.Addr():
		d.takeReport(r)
	default:
		go d.sendReport(ctx, address, r)
	}
}

// readyToJoin reports whether the member is in the table, or has the presence
// key that it needs before.
func (d *Daemon) readyToJoin(m *membership) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder != nil || m.presence != 0
}

func (d *Daemon) buildReport(m *membership, now time.Time) peer.Report {
	revisions, targets := d.fronts.reports(m, now)
	_, _, admin := d.Addresses()
	return peer.Report{
		From: m.id, Daemon: d.set.Daemon.ID, Address: d.net.Addr(), Admin: admin, Domain: d.set.Daemon.Domain,
		Sequence: d.sequence.Add(1), Revisions: revisions, Leaving: m.isLeaving(),
		Targets: targets, Fenced: d.fencedMembers(),
	}
}

func (d *Daemon) sendReport(ctx context.Context, address string, r peer.Report) {
	var reply peer.ReportReply
	err := d.call(ctx, address, peer.PathReport, r, &reply)
	if err != nil || !reply.Coordinator {
		d.metrics.reportsFailed.Inc(1)
		d.office.hurry()
	}
	if err != nil {
		return
	}
	d.compareRevisions(address, reply.Revisions)
}

// coordinatorHint returns the address of the coordinator of the highest known
// term.
func (d *Daemon) coordinatorHint() (string, int64) {
	d.office.mu.Lock()
	defer d.office.mu.Unlock()
	return d.office.hintAddress, d.office.hintTerm
}

func (d *Daemon) learnCoordinator(address string, term int64) {
	d.office.mu.Lock()
	defer d.office.mu.Unlock()
	if address != "" && term > d.office.hintTerm {
		d.office.hintAddress, d.office.hintTerm = address, term
	}
}

// runInstances follows the platform's list of instances while this daemon is
// the coordinator.
func (d *Daemon) runInstances(ctx context.Context) error {
	if d.instances == nil {
		return nil
	}
	ticker := time.NewTicker(d.set.Instances.Poll)
	defer ticker.Stop()
	for {
		if d.office.active() {
			d.pollInstances(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *Daemon) pollInstances(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, err := d.instances.Instances(ctx)
	if err != nil {
		return
	}
	var leaving []string
	for _, i := range list {
		if i.State == topo.InstanceLeaving {
			leaving = append(leaving, i.ID)
		}
	}
	d.office.mu.Lock()
	defer d.office.mu.Unlock()
	if d.office.machine != nil {
		d.office.machine.SetLeaving(leaving)
	}
}
