// Package poison runs a quarantine.Table for one VM. It guards the table with a lock, logs and
// counts changes, makes attempts of suspects wait for their trial, and sends entries to peers.
// All decisions are in package quarantine.
//
// Lock order: Guard.mu is a leaf; no other lock is acquired while it is held.
package poison

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/fingerprint"
	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/quarantine"
)

// Metrics holds the counters of a Guard.
type Metrics struct {
	crashes        prometheus.Counter
	trials         prometheus.Counter
	transitions    *prometheus.CounterVec
	droppedEntries prometheus.Counter
}

// NewMetrics creates the counters and registers them with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_poison_crashes_total", Help: "Upstreams that ended under a request that no upstream had survived.",
		}),
		trials: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_poison_trials_total", Help: "Suspects that were tried at one upstream alone.",
		}),
		transitions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_poison_standing_changes_total", Help: "Requests that became suspect, blocked or free, as seen here.",
		}, []string{"standing"}),
		droppedEntries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_poison_entries_dropped_total", Help: "Entries of peers that made no sense.",
		}),
	}
	reg.MustRegister(m.crashes, m.trials, m.transitions, m.droppedEntries)
	return m
}

// Guard stops requests that crash upstreams. It is safe for concurrent use.
type Guard struct {
	logs    logring.Loggers
	metrics *Metrics
	// pending is signalled when the table has entries for all peers.
	pending chan struct{}
	// nonEmpty is set while the table has records. Each request reads it without the lock.
	nonEmpty atomic.Bool
	// stopping is closed when attempts must no longer wait.
	stopping chan struct{}
	stopOnce sync.Once

	mu    sync.Mutex
	table *quarantine.Table
}

// New returns a Guard with an empty table.
func New(logs logring.Loggers, metrics *Metrics) *Guard {
	return &Guard{logs: logs, metrics: metrics, pending: make(chan struct{}, 1), stopping: make(chan struct{}), table: quarantine.New()}
}

// Request identifies a request to a Guard.
type Request struct {
	Content fingerprint.Fingerprint
	// Fields describe the request and the attempt in logs.
	Fields []zap.Field
}

// Empty reports whether the table has no records. Callers need not compute a request's
// fingerprint then.
func (g *Guard) Empty() bool { return !g.nonEmpty.Load() }

// update calls f with the table, under the lock.
func (g *Guard) update(f func(*quarantine.Table)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.table)
	g.nonEmpty.Store(!g.table.Empty())
}

// EndWaits refuses the attempts of suspects that wait for a trial, now and later.
func (g *Guard) EndWaits() { g.stopOnce.Do(func() { close(g.stopping) }) }

// Blocked reports whether a request must not be sent to any upstream.
func (g *Guard) Blocked(now time.Time, content fingerprint.Fingerprint) bool {
	standing, _ := g.standing(now, content)
	return standing == quarantine.Blocked
}

func (g *Guard) standing(now time.Time, content fingerprint.Fingerprint) (quarantine.Standing, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Standing(now, content)
}

// Admit decides how an attempt runs. An attempt of a suspect blocks until its trial may start
// or its wait is over. draw returns a random number from 0 to 1, which delays the trial so that
// VMs do not start trials at the same time.
func (g *Guard) Admit(now func() time.Time, draw func() float64, s Request) quarantine.Admission {
	standing, until := g.standing(now(), s.Content)
	if standing != quarantine.Suspect {
		return quarantine.Admission{Standing: standing, Until: until}
	}
	w := quarantine.NewTrialWait(now(), draw())
	a := g.TryAdmit(now(), s.Content, &w)
	waited := !a.RetryAt.IsZero()
	for !a.RetryAt.IsZero() {
		select {
		case <-g.stopping:
			return quarantine.Admission{Standing: a.Standing, Held: true, Waited: waited}
		case <-time.After(a.RetryAt.Sub(now())):
		}
		a = g.TryAdmit(now(), s.Content, &w)
	}
	a.Waited = waited
	if a.Standing == quarantine.Suspect && !a.Held {
		g.metrics.trials.Inc()
		g.signal()
		g.logs.Failures.Info("poison: suspect is tried", append([]zap.Field{zap.Stringer("content", s.Content)}, s.Fields...)...)
	}
	return a
}

// TryAdmit makes one check of Admit without blocking.
func (g *Guard) TryAdmit(now time.Time, content fingerprint.Fingerprint, w *quarantine.TrialWait) quarantine.Admission {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Admit(now, content, w)
}

// Crashed records an upstream that ended while it ran a request.
func (g *Guard) Crashed(now time.Time, s Request, c quarantine.Crash) {
	g.metrics.crashes.Inc()
	var change quarantine.Transition
	g.update(func(t *quarantine.Table) { change = t.Crashed(now, s.Content, c) })
	g.report(change, s.Fields...)
}

// Survived records that an upstream has run a request without a crash.
func (g *Guard) Survived(now time.Time, s Request) {
	var change quarantine.Transition
	g.update(func(t *quarantine.Table) { change = t.Survived(now, s.Content) })
	g.report(change, s.Fields...)
}

// Unanswered records that an attempt has ended and no upstream has survived it. The request's
// entry is sent to all peers, as the caller may retry at any VM.
func (g *Guard) Unanswered(content fingerprint.Fingerprint) {
	g.mu.Lock()
	g.table.Unanswered(content)
	g.mu.Unlock()
	g.signal()
}

// Merge merges the valid entries of a peer. dropped is the number of its invalid entries.
func (g *Guard) Merge(now time.Time, peer string, entries []quarantine.Entry, dropped int) {
	g.metrics.droppedEntries.Add(float64(dropped))
	for _, e := range entries {
		var change quarantine.Transition
		g.update(func(t *quarantine.Table) { change = t.Merge(now, e) })
		g.signal()
		g.count(change)
		// The VM that detected the crashes logs every change. If all VMs of a large fleet did,
		// these lines would crowd out all others.
		if change.Was != change.Is && (change.Was == quarantine.Blocked || change.Is == quarantine.Blocked) {
			g.log(change, zap.String("peer", peer))
		}
	}
}

// Pending returns a channel that receives a value when entries wait to be sent to all peers.
func (g *Guard) Pending() <-chan struct{} { return g.pending }

// TakePending returns a datagram's worth of entries to send to all peers now, marks them as sent, and
// reports whether more entries wait.
func (g *Guard) TakePending(now time.Time) (entries []quarantine.Entry, more bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	entries = g.table.TakePending(now, quarantine.MaxDatagramEntries)
	return entries, g.table.HasPending()
}

// NextRepeats returns the next datagram's worth of entries to re-send to some peers.
func (g *Guard) NextRepeats(now time.Time) []quarantine.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.NextRepeats(now, quarantine.MaxDatagramEntries)
}

// Snapshot returns up to limit entries for a VM that starts, the most severe first.
func (g *Guard) Snapshot(now time.Time, limit int) []quarantine.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Snapshot(now, limit)
}

// Expire removes old records. Call it about once a second.
func (g *Guard) Expire(now time.Time) {
	g.update(func(t *quarantine.Table) { t.Expire(now) })
}

// report logs and counts a change of standing, and signals pending entries.
func (g *Guard) report(t quarantine.Transition, fields ...zap.Field) {
	g.signal()
	g.count(t)
	if t.Was != t.Is {
		g.log(t, fields...)
	}
}

func (g *Guard) count(t quarantine.Transition) {
	if t.Was != t.Is {
		g.metrics.transitions.WithLabelValues(t.Is.String()).Inc()
	}
}

func (g *Guard) log(t quarantine.Transition, fields ...zap.Field) {
	g.logs.Changes.Warn("poison: request is "+t.Is.String(), append([]zap.Field{
		zap.Stringer("content", t.Content),
		zap.Stringer("was", t.Was),
		zap.Int("crashes", t.Crashes),
		zap.Uint32("rounds", t.Rounds),
		zap.Uint32("blocks", t.Blocks),
	}, fields...)...)
}

// signal sends to the pending channel if entries wait, unless a signal is already queued.
func (g *Guard) signal() {
	g.mu.Lock()
	pending := g.table.HasPending()
	g.mu.Unlock()
	if !pending {
		return
	}
	select {
	case g.pending <- struct{}{}:
	default:
	}
}

var requestsDesc = prometheus.NewDesc("sycamorekeel_poison_requests",
	"Requests under which upstreams ended, by how they are treated.", []string{"standing"}, nil)

// Describe implements prometheus.Collector.
func (g *Guard) Describe(out chan<- *prometheus.Desc) { out <- requestsDesc }

// Collect implements prometheus.Collector. It counts the standings at each call.
func (g *Guard) Collect(out chan<- prometheus.Metric) {
	g.mu.Lock()
	count := g.table.Count(time.Now())
	g.mu.Unlock()
	for standing, n := range count {
		out <- prometheus.MustNewConstMetric(requestsDesc, prometheus.GaugeValue, float64(n), standing.String())
	}
}
