package edge

import (
	"hash/fnv"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/quarantine"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// heldRetry lets the trial of a suspect end.
const heldRetry = time.Second

// Quarantine keeps requests that crash upstreams from them: it holds the table, logs what
// changes in it, and tells when peers are to hear of it. It is safe for concurrent use.
//
// Lock order: Quarantine.mu is a leaf.
type Quarantine struct {
	logs logring.Loggers
	met  *quarantineMetrics
	news chan struct{}

	mu    sync.Mutex
	table *quarantine.Table
}

type quarantineMetrics struct {
	crashes prometheus.Counter
	trials  prometheus.Counter
	turns   *prometheus.CounterVec
	dropped prometheus.Counter
}

func newQuarantineMetrics() *quarantineMetrics {
	return &quarantineMetrics{
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_edge_crashes_total", Help: "Upstreams that ended under a request that no upstream had survived.",
		}),
		trials: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_edge_trials_total", Help: "Suspects that were tried at one upstream alone.",
		}),
		turns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_edge_standing_changes_total", Help: "Requests that became suspect, blocked or free, as seen here.",
		}, []string{"standing"}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_edge_quarantine_dropped_total", Help: "Entries of peers that made no sense.",
		}),
	}
}

func newQuarantine(logs logring.Loggers, met *quarantineMetrics) *Quarantine {
	return &Quarantine{logs: logs, met: met, news: make(chan struct{}, 1), table: quarantine.New()}
}

// Changed gives a signal when peers are to be told of something.
func (q *Quarantine) Changed() <-chan struct{} { return q.news }

// News is what all peers are to be told now, and whether there is more.
func (q *Quarantine) News(now time.Time) (entries []quarantine.Entry, more bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	entries = q.table.News(now, quarantine.MaxTold)
	return entries, q.table.HasNews()
}

// Repeat is what some peers are to be told again.
func (q *Quarantine) Repeat(now time.Time) []quarantine.Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Repeat(now, quarantine.MaxTold)
}

// All is what a VM that starts is to be told, so many entries at most.
func (q *Quarantine) All(now time.Time, most int) []quarantine.Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.All(now, most)
}

// Learn takes in what a peer tells; dropped is how many of its entries made no sense.
func (q *Quarantine) Learn(now time.Time, peer string, entries []quarantine.Entry, dropped int) {
	q.met.dropped.Add(float64(dropped))
	for _, e := range entries {
		q.mu.Lock()
		turn := q.table.Merge(now, e)
		q.mu.Unlock()
		q.tell(turn, zap.String("peer", peer))
	}
}

// count is how many requests have each standing.
func (q *Quarantine) count(now time.Time) map[quarantine.Standing]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Count(now)
}

// expire forgets what is too old.
func (q *Quarantine) expire(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Expire(now)
}

// empty tells whether no request is held: what is asked need not be worked out then.
func (q *Quarantine) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Empty()
}

// blocked tells whether a request is sent to no upstream now.
func (q *Quarantine) blocked(now time.Time, r *Request) bool {
	if q.empty() {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	standing, _ := q.table.Standing(now, r.content())
	return standing == quarantine.Blocked
}

// admit tells how an attempt may be run. A suspect waits for its turn to be tried.
func (q *Quarantine) admit(now func() time.Time, draw func() float64, r *Request) quarantine.Admission {
	if q.empty() {
		return quarantine.Admission{}
	}
	q.mu.Lock()
	standing, until := q.table.Standing(now(), r.content())
	q.mu.Unlock()
	if standing != quarantine.Suspect {
		return quarantine.Admission{Standing: standing, Until: until}
	}
	w := quarantine.Wait(now(), draw())
	for {
		q.mu.Lock()
		a := q.table.Admit(now(), r.content(), &w)
		q.mu.Unlock()
		switch {
		case !a.Again.IsZero():
			time.Sleep(a.Again.Sub(now()))
			continue
		case a.Standing == quarantine.Suspect && !a.Held:
			q.met.trials.Inc()
			q.signal()
			q.logs.Failures.Info("quarantine: suspect is tried", zap.String("request", r.Message.ID), zap.Stringer("content", r.content()))
		}
		return a
	}
}

// crashed takes in an upstream that ended under a request.
func (q *Quarantine) crashed(now time.Time, r *Request, c quarantine.Crash) {
	q.met.crashes.Inc()
	q.mu.Lock()
	turn := q.table.Crashed(now, r.content(), c)
	q.mu.Unlock()
	q.tell(turn, zap.String("host", r.Host), zap.String("path", r.Path), zap.String("request", r.Message.ID))
}

// survived takes in that an upstream has run a request and lives.
func (q *Quarantine) survived(now time.Time, r *Request) {
	if q.empty() {
		return
	}
	q.mu.Lock()
	turn := q.table.Survived(now, r.content())
	q.mu.Unlock()
	q.tell(turn, zap.String("request", r.Message.ID))
}

// unanswered notes that an attempt has ended with no upstream that survived it.
func (q *Quarantine) unanswered(r *Request) {
	q.mu.Lock()
	q.table.Unanswered(r.content())
	q.mu.Unlock()
	q.signal()
}

// tell logs and counts a change of standing, and gives a signal when peers are to hear of it.
func (q *Quarantine) tell(t quarantine.Turn, more ...zap.Field) {
	q.signal()
	if t.Was == t.Is {
		return
	}
	q.met.turns.WithLabelValues(t.Is.String()).Inc()
	q.logs.Changes.Warn("quarantine: request is "+t.Is.String(), append([]zap.Field{
		zap.Stringer("content", t.Content),
		zap.Stringer("was", t.Was),
		zap.Int("crashes", t.Crashes),
		zap.Uint32("rounds", t.Rounds),
		zap.Uint32("blocks", t.Blocks),
	}, more...)...)
}

func (q *Quarantine) signal() {
	q.mu.Lock()
	news := q.table.HasNews()
	q.mu.Unlock()
	if !news {
		return
	}
	select {
	case q.news <- struct{}{}:
	default:
	}
}

// startOf names an upstream and its start, in a few bytes.
func startOf(u *catalog.Upstream) uint32 {
	h := fnv.New32a()
	// A hash never fails to write.
	_, _ = h.Write([]byte(u.ID))
	_, _ = h.Write([]byte(strconv.FormatInt(u.Born.UnixNano(), 16)))
	return h.Sum32()
}

// judge takes in what a reply shows of the request itself. An upstream that closed its
// connection under it is looked at: it may have ended, of this request or another.
func (x *run) judge(s *send, now time.Time) {
	e := x.engine
	switch r := s.reply.Result; {
	case r.Survived():
		x.survived.Store(true)
		e.quarantine.survived(now, x.req)
	case (r == scatter.Broken || r == scatter.Shut) && !x.survived.Load():
		x.broken = true
		// Worked out here, as the check ends in another goroutine.
		x.req.content()
		crash := quarantine.Crash{Start: startOf(s.call.Upstream), SentAt: s.sentAt, EndedAt: now}
		e.check(s.call.Upstream, func(ended bool) { x.checked(ended, crash) })
	}
}

// checked takes in whether an upstream that closed its connection has ended.
func (x *run) checked(ended bool, crash quarantine.Crash) {
	if !ended || x.survived.Load() {
		return
	}
	e := x.engine
	e.quarantine.crashed(e.now(), x.req, crash)
	if x.over.Load() {
		e.quarantine.unanswered(x.req)
	}
}

// close ends the run for the quarantine: what is known of a request that no upstream has
// survived is told to peers, as its caller may come to any of them next.
func (x *run) close() {
	x.over.Store(true)
	if x.broken && !x.survived.Load() {
		x.engine.quarantine.unanswered(x.req)
	}
}
