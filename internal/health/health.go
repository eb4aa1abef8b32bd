// Package health tracks the state of one upstream for its owner: ready, cold,
// draining or down, the snapshots it serves, when to probe it next, and whether
// it may get work. It is a pure state machine.
//
// The upstream's health endpoint lags and may be wrong, so the outcomes of
// requests override it: a refusal because no slot was free, an announcement of
// draining, a failed connection attempt, a successful answer.
package health

import (
	"math/rand/v2"
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Options are the timings of a Monitor.
type Options struct {
	// Interval is the time between probes, with a jitter of a quarter either
	// way.
	Interval time.Duration
	// Lag is how far the health endpoint may lag behind the replies.
	Lag time.Duration
	// BackoffMin and BackoffMax bound the time during which an unreachable
	// upstream gets no requests. It doubles with each failed trial.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// ProbeFailures is the number of consecutive failed probes after which an
	// upstream is down, unless it answered a request meanwhile.
	ProbeFailures int
}

// DefaultOptions returns the timings that the daemon uses.
func DefaultOptions() Options {
	return Options{
		Interval:      time.Second,
		Lag:           3 * time.Second,
		BackoffMin:    100 * time.Millisecond,
		BackoffMax:    5 * time.Second,
		ProbeFailures: 2,
	}
}

// Gate says whether new requests may be sent to the upstream.
type Gate int

const (
	// Open: requests may be sent.
	Open Gate = iota
	// Trial: one request may be sent; its outcome closes or reopens the circuit.
	Trial
	// Unreachable: recent connection attempts failed, or a trial is in flight.
	Unreachable
	// Leaving: the upstream announced that it drains, or the operators remove
	// it.
	Leaving
)

// Report is an answer of the health endpoint.
type Report struct {
	State     pb.UpstreamState
	Snapshots []*pb.Snapshot
}

// Reply is the outcome of one request.
type Reply struct {
	Result pb.Result
	// Draining is set when the reply announced draining.
	Draining bool
	// Snapshot is the requested snapshot.
	Snapshot *pb.Snapshot
}

// Monitor tracks the state of one upstream. It is not safe for concurrent use.
type Monitor struct {
	opts Options
	rng  *rand.Rand

	// reportedState is the last state from a health report or a request.
	reportedState pb.UpstreamState
	snapshots     []*pb.Snapshot
	leaving       bool
	// drainAnnouncedAt is the time of the last reply that announced draining;
	// zero when the upstream does not drain.
	drainAnnouncedAt time.Time
	// lastReplyAt is the time of the last reply to a request.
	lastReplyAt time.Time

	probeFailures int
	nextProbeAt   time.Time
	probeInFlight bool

	// circuitOpen is set after a failure. No request is sent until retryAt, then
	// one trial.
	circuitOpen   bool
	trialInFlight bool
	backoff       time.Duration
	retryAt       time.Time
}

// New returns a monitor of unknown state that is due for a probe. The seed
// determines the jitter, so that probes of many upstreams spread out.
func New(opts Options, seed uint64) *Monitor {
	return &Monitor{opts: opts, rng: rand.New(rand.NewPCG(seed, 0))}
}

// SetLeaving sets whether the operators are removing the upstream.
func (m *Monitor) SetLeaving(leaving bool) {
	m.leaving = leaving
}

// Gate returns whether new requests may be sent.
func (m *Monitor) Gate(now time.Time) Gate {
	switch {
	case m.draining():
		return Leaving
	case !m.circuitOpen:
		return Open
	case m.trialInFlight || now.Before(m.retryAt):
		return Unreachable
	default:
		return Trial
	}
}

// RequestStarted records that a request is being sent.
func (m *Monitor) RequestStarted() {
	m.trialInFlight = m.circuitOpen
}

// Unsent records that a trial was not sent after all.
func (m *Monitor) Unsent() {
	m.trialInFlight = false
}

// Observe applies the outcome of a request.
func (m *Monitor) Observe(now time.Time, r Reply) {
	m.trialInFlight = false
	if r.Draining || r.Result == pb.Result_UPSTREAM_LEAVING {
		m.drainAnnouncedAt = now
	}
	switch r.Result {
	case pb.Result_UNREACHABLE:
		m.openCircuit(now)
		return
	case pb.Result_UNKNOWN:
		// An unknown outcome does not show whether the upstream works.
		// It says neither that the upstream works nor that it does not.
		return
	case pb.Result_OK:
		m.addSnapshot(r.Snapshot)
	case pb.Result_NO_SNAPSHOT:
		m.dropSnapshot(r.Snapshot)
	}
	m.lastReplyAt = now
	m.closeCircuit()
}

// openCircuit opens the circuit for twice as long as before. Failures while it
// is open count once.
func (m *Monitor) openCircuit(now time.Time) {
	if m.circuitOpen && now.Before(m.retryAt) {
		return
	}
	m.backoff = min(m.opts.BackoffMax, max(m.opts.BackoffMin, 2*m.backoff))
	m.circuitOpen = true
	m.retryAt = now.Add(m.jitter(m.backoff))
	m.reportedState = pb.UpstreamState_DOWN
}

// closeCircuit closes the circuit after a reply.
func (m *Monitor) closeCircuit() {
	m.circuitOpen = false
	m.backoff = 0
	m.probeFailures = 0
	if m.reportedState == pb.UpstreamState_DOWN || m.reportedState == pb.UpstreamState_UPSTREAM_STATE_UNSPECIFIED {
		m.reportedState = pb.UpstreamState_READY
	}
}

// ProbeDue reports whether to send a probe now. If so, the probe counts as in
// flight until ProbeFinished or ProbeSkipped is called.
func (m *Monitor) ProbeDue(now time.Time) bool {
	if m.probeInFlight || now.Before(m.nextProbeAt) {
		return false
	}
	m.probeInFlight = true
	return true
}

// ProbeSkipped records that a due probe could not be sent.
func (m *Monitor) ProbeSkipped() {
	m.probeInFlight = false
}

// RetryIn returns the time until the next trial; 0 when it is due.
func (m *Monitor) RetryIn(now time.Time) time.Duration {
	return max(0, m.retryAt.Sub(now))
}

// ProbeFinished applies the answer to a probe sent at sent; r is nil when there was
// none.
func (m *Monitor) ProbeFinished(now, sent time.Time, r *Report) {
	m.probeInFlight = false
	m.nextProbeAt = now.Add(m.jitter(m.opts.Interval))
	if r == nil {
		m.probeFailed(now, sent)
		return
	}
	m.probeFailures = 0
	m.applyReport(sent, r)
}

// probeFailed counts a failed probe unless a request was answered since it was
// sent: a health endpoint may hang while the service works.
func (m *Monitor) probeFailed(now, sent time.Time) {
	if m.lastReplyAt.After(sent) {
		m.probeFailures = 0
		return
	}
	m.probeFailures++
	if m.probeFailures >= m.opts.ProbeFailures {
		m.openCircuit(now)
	}
}

// applyReport applies a report of the health endpoint. If the circuit is open,
// the report permits a trial at once. A drain announcement in a reply overrides
// reports of other states from probes that were sent less than Lag after it.
func (m *Monitor) applyReport(sent time.Time, r *Report) {
	m.snapshots = r.Snapshots
	if m.circuitOpen {
		m.trialInFlight = false
		m.retryAt = sent
	}
	if r.State == pb.UpstreamState_DRAINING {
		m.reportedState = r.State
		return
	}
	if !m.drainAnnouncedAt.IsZero() && sent.Before(m.drainAnnouncedAt.Add(m.opts.Lag)) {
		return
	}
	m.drainAnnouncedAt = time.Time{}
	m.reportedState = r.State
}

func (m *Monitor) draining() bool {
	return m.leaving || !m.drainAnnouncedAt.IsZero() || m.reportedState == pb.UpstreamState_DRAINING
}

// State returns the tracked state.
func (m *Monitor) State() pb.UpstreamState {
	switch {
	case m.draining():
		return pb.UpstreamState_DRAINING
	case m.circuitOpen:
		return pb.UpstreamState_DOWN
	default:
		return m.reportedState
	}
}

// Snapshots returns the snapshots that the upstream is known to serve. Callers
// must not modify the slice.
func (m *Monitor) Snapshots() []*pb.Snapshot {
	return m.snapshots
}

func (m *Monitor) addSnapshot(s *pb.Snapshot) {
	if s == nil || m.hasSnapshot(s) {
		return
	}
	m.snapshots = append(slices.Clone(m.snapshots), s)
}

func (m *Monitor) dropSnapshot(s *pb.Snapshot) {
	if s == nil || !m.hasSnapshot(s) {
		return
	}
	m.snapshots = slices.DeleteFunc(slices.Clone(m.snapshots), func(o *pb.Snapshot) bool { return sameSnapshot(o, s) })
}

func (m *Monitor) hasSnapshot(s *pb.Snapshot) bool {
	return slices.ContainsFunc(m.snapshots, func(o *pb.Snapshot) bool { return sameSnapshot(o, s) })
}

func sameSnapshot(a, b *pb.Snapshot) bool {
	return a.GetGeneration() == b.GetGeneration() && a.GetVersion() == b.GetVersion()
}

// jitter varies d by a quarter either way.
func (m *Monitor) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(m.rng.Int64N(int64(d)/2+1))
}
