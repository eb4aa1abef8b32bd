package daemon

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/gossip"
	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// newGossip returns the gossip driver that maintains this VM's membership.
func (d *Daemon) newGossip() *gossip.Driver {
	s := d.settings
	return gossip.New(gossip.Options{
		Log:      d.log,
		Registry: d.registry,
		Keys:     s.PeerKeys,
		Now:      time.Now,
		Node: membership.Options{
			Self: &pb.MemberUpdate{
				Vm:            s.Vm,
				Incarnation:   d.incarnation,
				Region:        s.Region,
				DataCentre:    s.DataCentre,
				Rack:          s.Rack,
				CallerAddress: s.CallerAddress,
				PeerAddress:   s.PeerAddress,
			},
			Seeds: s.Seeds,
			Seed:  rand.Uint64(),
		},
		Callbacks: gossip.Callbacks{
			View:         d.applyView,
			Revalidate:   d.revalidate,
			Revalidated:  d.revalidated,
			Superseded:   d.superseded,
			Quarantine:   d.poison.HandleEntries,
			Announcement: func(a gossip.Announcement) { d.noteRevision(a.Sender.PeerAddress, a.Revision) },
		},
	})
}

// applyView applies a membership view from gossip, unless it is not newer than the
// current one.
func (d *Daemon) applyView(v *membership.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.view.Load()
	if v.Version <= before.Version {
		return
	}
	d.logChanges(before, v)
	if sameServing(before.Serving(), v.Serving()) {
		// A VM became suspect, or one that was leaving died. Ownership does not
		// change, so 2,500 upstreams need not be assigned again.
		d.view.Store(v)
		d.router.Update(v, d.table.Load())
		return
	}
	d.apply(v, d.snapshot.Load())
}

// sameServing reports whether two lists hold the same serving members, apart from
// their states.
func sameServing(a, b []membership.Member) bool {
	return slices.EqualFunc(a, b, func(m, n membership.Member) bool {
		m.State, n.State = 0, 0
		return m == n
	})
}

// logChanges logs each member whose state or incarnation changed.
func (d *Daemon) logChanges(before, after *membership.View) {
	for i := range after.Members {
		m := &after.Members[i]
		old, ok := before.Find(m.VM)
		if ok && old.State == m.State && old.Incarnation == m.Incarnation {
			continue
		}
		d.log.Info("membership: member changed",
			zap.String("member", m.VM),
			zap.String("state", m.State.String()),
			zap.Uint64("incarnation", m.Incarnation))
	}
}

// revalidate is called when gossip detects that this process was paused.
func (d *Daemon) revalidate() {
	d.log.Warn("membership: this process was paused, no new work until peers have answered")
}

// revalidated is called when peers have answered after a pause. alone is set when
// there are no peers to ask.
func (d *Daemon) revalidated(alone bool) {
	d.log.Info("membership: views are valid again", zap.Bool("alone", alone))
}

// superseded ends this process because a newer process runs under the same VM name.
// Two processes with one name would both accept the work addressed to it.
func (d *Daemon) superseded(incarnation uint64) {
	err := trace.CompareFailed("a newer process serves as %s, incarnation %d", d.settings.Vm, incarnation)
	select {
	case d.ended <- err:
	default:
	}
}
