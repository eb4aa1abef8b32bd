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
	// leaveAnnouncements is the number of times that a VM announces that it leaves, at
	// intervals of announceInterval. Repeating it covers the loss of a datagram.
	leaveAnnouncements = 3
	announceInterval   = 100 * time.Millisecond
	// handoverPeriod is how long a leaving VM keeps serving the upstreams that it owned,
	// so that the announcement reaches all peers and they send to the new owners.
	handoverPeriod = time.Second
	// leavePropagation is how long peers that the announcement has not reached may still
	// return the leaving VM as an endpoint to callers.
	leavePropagation = 2 * time.Second
	// flushMargin is the part of the drain limit reserved for the refusals of requests that are
	// still in flight: at most half of the limit.
	flushMargin = 300 * time.Millisecond
	// stopPollInterval is the interval at which a stop checks whether it can proceed.
	stopPollInterval = 20 * time.Millisecond
)

// stopState holds the state of a planned stop.
type stopState struct {
	// leaving is set when the stop is announced. The VM still serves then.
	leaving atomic.Bool
	// owned is the ownership table that a leaving VM keeps using, nil otherwise.
	owned atomic.Pointer[ownership.Table]
	halt  chan struct{}
	once  sync.Once
}

// AbortStop ends the waits of a planned stop and cuts off the requests in flight. It may
// be called more than once.
func (d *Daemon) AbortStop() {
	d.stops.once.Do(func() { close(d.stops.halt) })
}

// stop takes this VM out of service. A planned stop first redirects peers and
// callers to other VMs. Then new requests are refused, and those in flight finish
// within the drain limit; those that do not are refused just before its end. Callers cache endpoints for their TTL, so refusing earlier
// would reject requests that this VM can still serve.
func (d *Daemon) stop(planned bool) {
	d.log.Info("daemon: stopping, requests in flight finish first")
	if planned {
		d.leave()
	}
	d.stopping.Store(true)
	limit := time.Duration(d.settings.Limits.DrainMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	answers, cancelAnswers := context.WithTimeout(ctx, limit-min(flushMargin, limit/2))
	defer cancelAnswers()
	go func() {
		select {
		case <-d.stops.halt:
			cancel()
		case <-ctx.Done():
		}
	}()
	d.front.Stop(answers)
	d.releaseOwned()
	d.stopOwner(ctx)
	d.server.Flush(ctx)
	if err := d.caller.Shutdown(ctx); err != nil {
		d.log.Warn("daemon: callers were cut off", zap.Error(err))
	}
	if err := d.operator.Shutdown(ctx); err != nil {
		d.log.Warn("daemon: operators were cut off", zap.Error(err))
	}
	// A server ignores a Shutdown that precedes Serve and then serves forever, so a
	// process that is stopped during its start would hang. Closing the listeners
	// ends Serve in either order.
	_ = d.listeners.Caller.Close()
	_ = d.listeners.Operator.Close()
}

// leave announces the stop and keeps serving until this VM's address has expired at
// all callers. After the announcements it does not wait if no other VM serves,
// because callers then have no alternative.
func (d *Daemon) leave() {
	d.stops.owned.Store(d.table.Load())
	d.stops.leaving.Store(true)
	start := time.Now()
	for range leaveAnnouncements {
		d.gossip.Leave()
		d.wait(announceInterval, func() bool { return false })
	}
	d.wait(handoverPeriod-time.Since(start), d.noOtherServes)
	d.releaseOwned()
	ttl := time.Duration(d.settings.Limits.EndpointsTtlMs) * time.Millisecond
	d.wait(leavePropagation+ttl-time.Since(start), d.noOtherServes)
	d.log.Info("daemon: this VM is no longer advertised to callers", zap.Duration("after", time.Since(start)))
}

// wait blocks until t has passed, done returns true or AbortStop is called.
func (d *Daemon) wait(t time.Duration, done func() bool) {
	end := time.Now().Add(t)
	for time.Now().Before(end) && !done() {
		select {
		case <-d.stops.halt:
			return
		case <-time.After(min(stopPollInterval, time.Until(end))):
		}
	}
}

// noOtherServes reports whether no other VM serves. It is valid once this VM is leaving,
// because its own entry does not count as serving then.
func (d *Daemon) noOtherServes() bool {
	return len(d.view.Load().Serving()) == 0
}

// releaseOwned releases the upstreams that a leaving VM has kept. Requests still queued
// for them are answered as not run. If no other VM serves, there is no new owner and
// this VM keeps the upstreams until it ends.
func (d *Daemon) releaseOwned() {
	if d.noOtherServes() || d.stops.owned.Swap(nil) == nil {
		return
	}
	d.owner.Apply(d.snapshot.Load())
}

// stopOwner waits until the owner has finished its running sub-requests or ctx ends.
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

// ownershipTable returns the ownership table for a view. If the last serving VM leaves, it
// keeps its previous table: without an owner its requests in flight would fail.
func (d *Daemon) ownershipTable(view *membership.View, assign func([]membership.Member) *ownership.Table) *ownership.Table {
	serving := view.Serving()
	if owned := d.stops.owned.Load(); len(serving) == 0 && owned != nil {
		return owned
	}
	return assign(serving)
}

// grantTable returns the ownership table that determines this VM's grants.
func (d *Daemon) grantTable() *ownership.Table {
	if owned := d.stops.owned.Load(); owned != nil {
		return owned
	}
	return d.table.Load()
}
