// Package health decides what an owner believes of one upstream: ready, cold,
// draining or down, which snapshots it serves, when to probe it next, and
// whether work may go to it. It is a pure state machine.
//
// The upstream's own health endpoint lags and may mislead, so what its replies
// to requests say outranks it: a refusal for want of a slot, an announcement of
// draining, a connection that could not be opened, a good answer.
package health

import (
	"math/rand/v2"
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Options are the timings of a monitor.
type Options struct {
	// Interval between probes; each is jittered by a quarter either way.
	Interval time.Duration
	// Lag is how far the health endpoint may be behind the replies.
	Lag time.Duration
	// BackoffFirst and BackoffMost bound the time an upstream that could not
	// be reached is left alone; it doubles with each failed trial.
	BackoffFirst time.Duration
	BackoffMost  time.Duration
	// ProbeFailures in a row make an upstream down that answered no request
	// meanwhile.
	ProbeFailures int
}

// DefaultOptions are the timings of a daemon.
func DefaultOptions() Options {
	return Options{
		Interval:      time.Second,
		Lag:           3 * time.Second,
		BackoffFirst:  100 * time.Millisecond,
		BackoffMost:   5 * time.Second,
		ProbeFailures: 2,
	}
}

// Gate says what may be done with new work.
type Gate int

const (
	// Open: it may be sent.
	Open Gate = iota
	// Trial: one request may be sent; its outcome decides.
	Trial
	// Unreachable: the upstream could not be reached a moment ago.
	Unreachable
	// Leaving: it has announced that it drains, or the operators take it out.
	Leaving
)

// Report is one answer of the health endpoint.
type Report struct {
	State     pb.UpstreamState
	Snapshots []*pb.Snapshot
}

// Reply is what one request has shown of the upstream.
type Reply struct {
	Result pb.Result
	// Draining says that the reply announced draining.
	Draining bool
	// Snapshot is the one that was asked for.
	Snapshot *pb.Snapshot
}

// Monitor is what is believed of one upstream. It is not safe for concurrent
// use.
type Monitor struct {
	opts Options
	rng  *rand.Rand

	announced pb.UpstreamState
	snapshots []*pb.Snapshot
	leaving   bool
	// drainedAt is when a reply last announced draining; zero when it does
	// not drain.
	drainedAt time.Time
	// answeredAt is when a reply last came to a request.
	answeredAt time.Time

	probeFailures int
	nextProbe     time.Time
	probing       bool

	// broken is set while the circuit is open: until retryAt nothing is sent,
	// then one trial.
	broken  bool
	trial   bool
	backoff time.Duration
	retryAt time.Time
}

// New makes a monitor that believes nothing yet and is due for a probe. The seed
// spreads the probes of many upstreams.
func New(opts Options, seed uint64) *Monitor {
	return &Monitor{opts: opts, rng: rand.New(rand.NewPCG(seed, 0))}
}

// SetLeaving takes in what the operators say of the upstream.
func (m *Monitor) SetLeaving(leaving bool) {
	m.leaving = leaving
}

// Gate says whether new work may go to the upstream.
func (m *Monitor) Gate(now time.Time) Gate {
	switch {
	case m.draining():
		return Leaving
	case !m.broken:
		return Open
	case m.trial || now.Before(m.retryAt):
		return Unreachable
	default:
		return Trial
	}
}

// Started notes that a request is sent.
func (m *Monitor) Started() {
	m.trial = m.broken
}

// Unsent notes that a trial was not sent after all.
func (m *Monitor) Unsent() {
	m.trial = false
}

// Observe takes in the outcome of a request.
func (m *Monitor) Observe(now time.Time, r Reply) {
	m.trial = false
	if r.Draining || r.Result == pb.Result_UPSTREAM_LEAVING {
		m.drainedAt = now
	}
	switch r.Result {
	case pb.Result_UNREACHABLE:
		m.fail(now)
		return
	case pb.Result_UNKNOWN:
		// It says neither that the upstream works nor that it does not.
		return
	case pb.Result_OK:
		m.addSnapshot(r.Snapshot)
	case pb.Result_NO_SNAPSHOT:
		m.dropSnapshot(r.Snapshot)
	}
	m.answeredAt = now
	m.mend()
}

// fail opens the circuit, for twice as long as before. Several requests that
// fail together count once.
func (m *Monitor) fail(now time.Time) {
	if m.broken && now.Before(m.retryAt) {
		return
	}
	m.backoff = min(m.opts.BackoffMost, max(m.opts.BackoffFirst, 2*m.backoff))
	m.broken = true
	m.retryAt = now.Add(m.jitter(m.backoff))
	m.announced = pb.UpstreamState_DOWN
}

// mend closes the circuit.
func (m *Monitor) mend() {
	m.broken = false
	m.backoff = 0
	m.probeFailures = 0
	if m.announced == pb.UpstreamState_DOWN || m.announced == pb.UpstreamState_UPSTREAM_STATE_UNSPECIFIED {
		m.announced = pb.UpstreamState_READY
	}
}

// ProbeDue tells whether the upstream should be probed now; it is then taken to
// be under way until Probed.
func (m *Monitor) ProbeDue(now time.Time) bool {
	if m.probing || now.Before(m.nextProbe) {
		return false
	}
	m.probing = true
	return true
}

// ProbeSkipped notes that a due probe could not be sent now.
func (m *Monitor) ProbeSkipped() {
	m.probing = false
}

// RetryIn is how long an upstream that could not be reached is left alone.
func (m *Monitor) RetryIn(now time.Time) time.Duration {
	return max(0, m.retryAt.Sub(now))
}

// Probed takes in the answer to a probe that was sent at sent; nil when there
// was none.
func (m *Monitor) Probed(now, sent time.Time, r *Report) {
	m.probing = false
	m.nextProbe = now.Add(m.jitter(m.opts.Interval))
	if r == nil {
		m.probeFailed(now, sent)
		return
	}
	m.probeFailures = 0
	m.believe(sent, r)
}

// probeFailed believes in a failure only when no request was answered since the
// probe was sent: a health endpoint may hang while the service works.
func (m *Monitor) probeFailed(now, sent time.Time) {
	if m.answeredAt.After(sent) {
		m.probeFailures = 0
		return
	}
	m.probeFailures++
	if m.probeFailures >= m.opts.ProbeFailures {
		m.fail(now)
	}
}

// believe takes a report on trust, except against replies that are newer than
// the report may lag.
func (m *Monitor) believe(sent time.Time, r *Report) {
	m.snapshots = r.Snapshots
	if m.broken {
		m.trial = false
		m.retryAt = sent
	}
	if r.State == pb.UpstreamState_DRAINING {
		m.announced = r.State
		return
	}
	if !m.drainedAt.IsZero() && sent.Before(m.drainedAt.Add(m.opts.Lag)) {
		return
	}
	m.drainedAt = time.Time{}
	m.announced = r.State
}

func (m *Monitor) draining() bool {
	return m.leaving || !m.drainedAt.IsZero() || m.announced == pb.UpstreamState_DRAINING
}

// State is what is believed.
func (m *Monitor) State() pb.UpstreamState {
	switch {
	case m.draining():
		return pb.UpstreamState_DRAINING
	case m.broken:
		return pb.UpstreamState_DOWN
	default:
		return m.announced
	}
}

// Snapshots is what the upstream is believed to serve; it must not be changed.
func (m *Monitor) Snapshots() []*pb.Snapshot {
	return m.snapshots
}

func (m *Monitor) addSnapshot(s *pb.Snapshot) {
	if s == nil || m.has(s) {
		return
	}
	m.snapshots = append(slices.Clone(m.snapshots), s)
}

func (m *Monitor) dropSnapshot(s *pb.Snapshot) {
	if s == nil || !m.has(s) {
		return
	}
	m.snapshots = slices.DeleteFunc(slices.Clone(m.snapshots), func(o *pb.Snapshot) bool { return same(o, s) })
}

func (m *Monitor) has(s *pb.Snapshot) bool {
	return slices.ContainsFunc(m.snapshots, func(o *pb.Snapshot) bool { return same(o, s) })
}

func same(a, b *pb.Snapshot) bool {
	return a.GetGeneration() == b.GetGeneration() && a.GetVersion() == b.GetVersion()
}

// jitter spreads d by a quarter either way.
func (m *Monitor) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(m.rng.Int64N(int64(d)/2+1))
}
