package owner

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	// tickInterval is the time between two ticks of the executors.
	tickInterval = 50 * time.Millisecond
	// probeWorkers is the number of concurrent probes, so that one that hangs
	// does not block the others.
	probeWorkers = 4
)

// Run probes the upstreams, expires queued sub-requests and detects pauses of this
// process until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	due := make(chan *executor)
	for range probeWorkers {
		group.Go(func() error { return runProber(ctx, due) })
	}
	group.Go(func() error {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				o.Tick(due)
			}
		}
	})
	return group.Wait()
}

// runProber probes the executors received from due until ctx ends.
func runProber(ctx context.Context, due <-chan *executor) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-due:
			e.probe()
		}
	}
}

// Tick expires and dispatches queued sub-requests of every executor and sends the
// executors with a due probe to due, without blocking.
func (o *Owner) Tick(due chan<- *executor) {
	now := o.opts.Now()
	o.pauseMu.Lock()
	suspended, gap := o.pause.Check(now)
	o.pause.Tick(now)
	resumed := suspended && !o.wasSuspended
	o.wasSuspended = suspended
	o.pauseMu.Unlock()
	if resumed {
		o.metrics.pauses.Inc()
		o.log.Warn("owner: process was paused; dispatch suspended until pending messages are read", zap.Duration("pause", gap))
	}
	if suspended {
		return
	}
	for _, e := range o.allExecutors() {
		e.tick(now)
		o.offerProbe(e, now, due)
		o.reap(e)
	}
}

// offerProbe sends the executor to due if its probe is due. If no prober is free,
// the probe is skipped.
func (o *Owner) offerProbe(e *executor, now time.Time, due chan<- *executor) {
	if !e.probeDue(now) {
		return
	}
	select {
	case due <- e:
	default:
		e.probeSkipped()
	}
}

// reap closes an executor that has no grant and is drained.
func (o *Owner) reap(e *executor) {
	o.mu.Lock()
	ended := e.drained()
	if ended {
		delete(o.retiring, e)
	}
	if ended && o.executors[e.upstream.ID] == e {
		delete(o.executors, e.upstream.ID)
	}
	o.mu.Unlock()
	if ended {
		e.close()
	}
}
