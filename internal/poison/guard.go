// Package poison drives a quarantine.Table for one VM: it holds the lock, logs and counts
// what changes, lets suspects wait for their turn, and tells when peers are to hear of
// something. It decides nothing.
//
// Lock order: Guard.mu is a leaf.
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

// Metrics counts what a guard sees.
type Metrics struct {
	crashes prometheus.Counter
	trials  prometheus.Counter
	transitions   *prometheus.CounterVec
	droppedEntries prometheus.Counter
}

// NewMetrics registers a guard's counters.
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

// Guard keeps requests that crash upstreams from them. It is safe for concurrent use.
type Guard struct {
	logs logring.Loggers
	metrics  *Metrics
	pending chan struct{}
	// nonEmpty says that the table holds something: it is looked at for each request.
	nonEmpty atomic.Bool

	mu    sync.Mutex
	table *quarantine.Table
}

// New is a guard that knows of no crash.
func New(logs logring.Loggers, met *Metrics) *Guard {
	return &Guard{logs: logs, metrics: met, pending: make(chan struct{}, 1), table: quarantine.New()}
}

// Subject is the request that a word to a guard is about.
type Subject struct {
	Content fingerprint.Fingerprint
	// Fields say in logs what is asked and by which attempt.
	Fields []zap.Field
}

// Empty tells whether no request is held: what is asked need not be worked out then.
func (g *Guard) Empty() bool { return !g.nonEmpty.Load() }

// update makes a change of the table.
func (g *Guard) update(do func(*quarantine.Table)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	do(g.table)
	g.nonEmpty.Store(!g.table.Empty())
}

// Blocked tells whether a request is sent to no upstream now.
func (g *Guard) Blocked(now time.Time, content fingerprint.Fingerprint) bool {
	standing, _ := g.standing(now, content)
	return standing == quarantine.Blocked
}

func (g *Guard) standing(now time.Time, content fingerprint.Fingerprint) (quarantine.Standing, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Standing(now, content)
}

// Admit tells how an attempt may be run. A suspect waits for its turn to be tried, which
// draw, from 0 to 1, places among those of other VMs.
func (g *Guard) Admit(now func() time.Time, draw func() float64, s Subject) quarantine.Admission {
	standing, until := g.standing(now(), s.Content)
	if standing != quarantine.Suspect {
		return quarantine.Admission{Standing: standing, Until: until}
	}
	w := quarantine.Wait(now(), draw())
	a := g.Step(now(), s.Content, &w)
	waited := !a.Again.IsZero()
	for !a.Again.IsZero() {
		time.Sleep(a.Again.Sub(now()))
		a = g.Step(now(), s.Content, &w)
	}
	a.Waited = waited
	if a.Standing == quarantine.Suspect && !a.Held {
		g.metrics.trials.Inc()
		g.signal()
		g.logs.Failures.Info("poison: suspect is tried", append([]zap.Field{zap.Stringer("content", s.Content)}, s.Fields...)...)
	}
	return a
}

// Step is one look of Admit.
func (g *Guard) Step(now time.Time, content fingerprint.Fingerprint, w *quarantine.Waiting) quarantine.Admission {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Admit(now, content, w)
}

// Crashed takes in an upstream that ended under a request.
func (g *Guard) Crashed(now time.Time, s Subject, c quarantine.Crash) {
	g.metrics.crashes.Inc()
	var turn quarantine.Transition
	g.update(func(t *quarantine.Table) { turn = t.Crashed(now, s.Content, c) })
	g.report(turn, s.Fields...)
}

// Survived takes in that an upstream has run a request and lives.
func (g *Guard) Survived(now time.Time, s Subject) {
	var turn quarantine.Transition
	g.update(func(t *quarantine.Table) { turn = t.Survived(now, s.Content) })
	g.report(turn, s.Fields...)
}

// Unanswered notes that an attempt has ended with no upstream that survived it: peers are
// told, as its caller may come to any of them next.
func (g *Guard) Unanswered(content fingerprint.Fingerprint) {
	g.mu.Lock()
	g.table.Unanswered(content)
	g.mu.Unlock()
	g.signal()
}

// Learn takes in what a peer tells; dropped is how many of its entries made no sense.
func (g *Guard) Learn(now time.Time, peer string, entries []quarantine.Entry, dropped int) {
	g.metrics.droppedEntries.Add(float64(dropped))
	for _, e := range entries {
		var turn quarantine.Transition
		g.update(func(t *quarantine.Table) { turn = t.Merge(now, e) })
		g.signal()
		g.count(turn)
		// The VM that saw the upstreams end has a line for each change; one of each VM of a
		// large fleet would leave room for nothing else.
		if turn.Was != turn.Is && (turn.Was == quarantine.Blocked || turn.Is == quarantine.Blocked) {
			g.log(turn, zap.String("peer", peer))
		}
	}
}

// Pending gives a signal when peers are to be told of something.
func (g *Guard) Pending() <-chan struct{} { return g.pending }

// News is what all peers are to be told now, and whether there is more.
func (g *Guard) News(now time.Time) (entries []quarantine.Entry, more bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	entries = g.table.TakePending(now, quarantine.MaxDatagramEntries)
	return entries, g.table.HasPending()
}

// Repeat is what some peers are to be told again.
func (g *Guard) Repeat(now time.Time) []quarantine.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.NextRepeats(now, quarantine.MaxDatagramEntries)
}

// All is what a VM that starts is to be told, so many entries at most.
func (g *Guard) All(now time.Time, most int) []quarantine.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Snapshot(now, most)
}

// Expire forgets what is too old. It is to be called now and then.
func (g *Guard) Expire(now time.Time) {
	g.update(func(t *quarantine.Table) { t.Expire(now) })
}

// report logs and counts a change of standing, and gives a signal when peers are to hear of it.
func (g *Guard) report(t quarantine.Transition, more ...zap.Field) {
	g.signal()
	g.count(t)
	if t.Was != t.Is {
		g.log(t, more...)
	}
}

func (g *Guard) count(t quarantine.Transition) {
	if t.Was != t.Is {
		g.metrics.transitions.WithLabelValues(t.Is.String()).Inc()
	}
}

func (g *Guard) log(t quarantine.Transition, more ...zap.Field) {
	g.logs.Changes.Warn("poison: request is "+t.Is.String(), append([]zap.Field{
		zap.Stringer("content", t.Content),
		zap.Stringer("was", t.Was),
		zap.Int("crashes", t.Crashes),
		zap.Uint32("rounds", t.Rounds),
		zap.Uint32("blocks", t.Blocks),
	}, more...)...)
}

func (g *Guard) signal() {
	g.mu.Lock()
	news := g.table.HasPending()
	g.mu.Unlock()
	if !news {
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

// Collect implements prometheus.Collector: the standings are counted when they are asked for.
func (g *Guard) Collect(out chan<- prometheus.Metric) {
	g.mu.Lock()
	count := g.table.Count(time.Now())
	g.mu.Unlock()
	for standing, n := range count {
		out <- prometheus.MustNewConstMetric(requestsDesc, prometheus.GaugeValue, float64(n), standing.String())
	}
}
