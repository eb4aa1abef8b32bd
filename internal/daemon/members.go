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

// newGossip makes the driver of this VM's membership.
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
			View:        d.takeView,
			Revalidate:  d.revalidate,
			Revalidated: d.revalidated,
			Superseded:  d.superseded,
			Quarantine:  d.poison.Heard,
			Heard:       func(a gossip.Announcement) { d.noteRevision(a.From.PeerAddress, a.Revision) },
		},
	})
}

// takeView routes by a view of gossip, unless a newer one has been taken.
func (d *Daemon) takeView(v *membership.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.view.Load()
	if v.Version <= before.Version {
		return
	}
	d.logChanges(before, v)
	if sameServing(before.Serving(), v.Serving()) {
		// A suspicion, or the death of a VM that was leaving: nobody owns
		// anything else by it, so 2,500 upstreams need not be assigned again.
		d.view.Store(v)
		d.router.Update(v, d.table.Load())
		return
	}
	d.apply(v, d.snapshot.Load())
}

// sameServing tells whether two views give the same VMs work at the same places.
func sameServing(a, b []membership.Member) bool {
	return slices.EqualFunc(a, b, func(m, n membership.Member) bool {
		m.State, n.State = 0, 0
		return m == n
	})
}

// logChanges tells which members changed their state.
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

// revalidate is told that this process was paused.
func (d *Daemon) revalidate() {
	d.log.Warn("membership: this process was paused, no new work until peers have answered")
}

// revalidated is told that peers have answered, or that there is none.
func (d *Daemon) revalidated(alone bool) {
	d.log.Info("membership: views are valid again", zap.Bool("alone", alone))
}

// superseded ends this process: a newer one has its name, and two with one name
// would both take the work that is addressed to it.
func (d *Daemon) superseded(incarnation uint64) {
	err := trace.CompareFailed("a newer process serves as %s, incarnation %d", d.settings.Vm, incarnation)
	select {
	case d.ended <- err:
	default:
	}
}
