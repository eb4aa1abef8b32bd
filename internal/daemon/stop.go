package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/ownership"
)

const (
	// announcements of leaving go out so often, announceEvery apart: one lost
	// datagram must not leave a peer unaware.
	announcements = 3
	announceEvery = 100 * time.Millisecond
	// handover is how long a leaving VM goes on with the upstreams it owned:
	// until the peers have heard and send to the new owners.
	handover = time.Second
	// leaveSpread is how long a VM may still be named to callers by peers that
	// have not heard that it leaves.
	leaveSpread = 2 * time.Second
	// stopPoll is how often a stop looks whether it may go on.
	stopPoll = 20 * time.Millisecond
)

// stops is the state of a planned stop.
type stops struct {
	// leaving is set from the announcement on: this VM still serves.
	leaving atomic.Bool
	// owned is the table that a leaving VM goes on with, nil otherwise.
	owned atomic.Pointer[ownership.Table]
	halt  chan struct{}
	once  sync.Once
}

// Halt ends the waits of a planned stop: what is in flight is cut off.
func (d *Daemon) Halt() {
	d.stops.once.Do(func() { close(d.stops.halt) })
}

// stop takes this VM out of service: peers and callers are sent elsewhere
// first, then new requests are refused, then what is in flight finishes.
// Callers keep what endpoints told them for its time to live, so refusing
// earlier would refuse requests that this VM can well answer.
func (d *Daemon) stop(planned bool) {
	d.log.Info("daemon: stopping, requests in flight finish first")
	if planned {
		d.leave()
	}
	d.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.Limits.DrainMs)*time.Millisecond)
	defer cancel()
	go func() {
		select {
		case <-d.stops.halt:
			cancel()
		case <-ctx.Done():
		}
	}()
	d.front.Stop(ctx)
	d.endOwning()
	d.stopOwner(ctx)
	d.server.Flush(ctx)
	if err := d.caller.Shutdown(ctx); err != nil {
		d.log.Warn("daemon: callers were cut off", zap.Error(err))
	}
	if err := d.operator.Shutdown(ctx); err != nil {
		d.log.Warn("daemon: operators were cut off", zap.Error(err))
	}
	// A server that is told to shut down before it has begun to serve forgets
	// that and serves for ever: the process of a VM that is stopped while it
	// starts would hang. A closed listener ends it in either order.
	_ = d.listeners.Caller.Close()
	_ = d.listeners.Operator.Close()
}

// leave announces the stop and serves on until no caller can hold this VM's
// address any more. Where no other VM serves there is nowhere to send callers.
func (d *Daemon) leave() {
	d.stops.owned.Store(d.table.Load())
	d.stops.leaving.Store(true)
	start := time.Now()
	for range announcements {
		d.gossip.Leave()
		d.wait(announceEvery, func() bool { return false })
	}
	d.wait(handover-time.Since(start), d.alone)
	d.endOwning()
	ttl := time.Duration(d.settings.Limits.EndpointsTtlMs) * time.Millisecond
	d.wait(leaveSpread+ttl-time.Since(start), d.alone)
	d.log.Info("daemon: no caller is sent here any more", zap.Duration("after", time.Since(start)))
}

// wait waits for t, until done or until Halt.
func (d *Daemon) wait(t time.Duration, done func() bool) {
	end := time.Now().Add(t)
	for time.Now().Before(end) && !done() {
		select {
		case <-d.stops.halt:
			return
		case <-time.After(min(stopPoll, time.Until(end))):
		}
	}
}

// alone tells whether no other VM serves.
func (d *Daemon) alone() bool {
	return len(d.view.Load().Serving()) == 0
}

// endOwning gives up the upstreams that this VM went on with: what still waits
// is answered as not run. When it is alone nobody takes them over and it keeps
// them to the end.
func (d *Daemon) endOwning() {
	if d.alone() || d.stops.owned.Swap(nil) == nil {
		return
	}
	d.owner.Apply(d.snapshot.Load())
}

// stopOwner lets the owner finish what it runs, until ctx ends.
func (d *Daemon) stopOwner(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		d.owner.Stop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		d.log.Warn("daemon: sub-requests were cut off")
	}
}

// tableFor is who owns what by a view. A VM that leaves as the last one keeps
// what it had: with no owner its requests in flight would fail.
func (d *Daemon) tableFor(view *membership.View, assign func([]membership.Member) *ownership.Table) *ownership.Table {
	serving := view.Serving()
	if owned := d.stops.owned.Load(); len(serving) == 0 && owned != nil {
		return owned
	}
	return assign(serving)
}

// granting is the table that this VM's own grants follow.
func (d *Daemon) granting() *ownership.Table {
	if owned := d.stops.owned.Load(); owned != nil {
		return owned
	}
	return d.table.Load()
}
