package owner

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	// tickEvery is the time between two looks at every station.
	tickEvery = 50 * time.Millisecond
	// probers is how many probes are under way at a time, so that one that
	// hangs does not hold up the rest.
	probers = 4
)

// Run tends the stations until ctx ends: it probes them, answers what expired
// while it waited, and notices when this process was paused.
func (o *Owner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	due := make(chan *station)
	for range probers {
		group.Go(func() error { return probe(ctx, due) })
	}
	group.Go(func() error {
		ticker := time.NewTicker(tickEvery)
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

func probe(ctx context.Context, due <-chan *station) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case st := <-due:
			st.probe()
		}
	}
}

// Tick looks at every station once and offers those whose probe is due.
func (o *Owner) Tick(due chan<- *station) {
	now := o.opts.Now()
	o.pauseMu.Lock()
	held, gap := o.pause.Check(now)
	o.pause.Tick(now)
	woke := held && !o.wasHeld
	o.wasHeld = held
	o.pauseMu.Unlock()
	if woke {
		o.met.pauses.Inc()
		o.log.Warn("owner: this process was paused; reading what waited first", zap.Duration("pause", gap))
	}
	if held {
		return
	}
	for _, st := range o.all() {
		st.tick(now)
		o.offer(st, now, due)
		o.reap(st)
	}
}

func (o *Owner) offer(st *station, now time.Time, due chan<- *station) {
	if !st.probeDue(now) {
		return
	}
	select {
	case due <- st:
	default:
		st.probeSkipped()
	}
}

// reap ends a station that is no longer granted once nothing runs on it.
func (o *Owner) reap(st *station) {
	o.mu.Lock()
	gone := st.ended()
	if gone {
		delete(o.retiring, st)
	}
	if gone && o.stations[st.upstream.ID] == st {
		delete(o.stations, st.upstream.ID)
	}
	o.mu.Unlock()
	if gone {
		st.shut()
	}
}
