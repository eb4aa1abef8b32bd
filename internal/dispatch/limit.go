package dispatch

import "time"

// LimitPolicy selects how a Limiter adapts to the capacity of the upstream.
type LimitPolicy int

const (
	// AIMD increases the limit additively and cuts it when the upstream sheds a
	// request. It is the default.
	AIMD LimitPolicy = iota
	// AIMDLatency is AIMD that also cuts when latency is inflated.
	AIMDLatency
	// Gradient follows the ratio of baseline to recent latency, and cuts on a
	// shed.
	Gradient
	// Fixed uses every published slot. It is the baseline for benchmarks.
	Fixed
)

const (
	// shedCutFactor multiplies the limit on a shed.
	shedCutFactor = 0.7
	// inflationRatio is the ratio of recent to baseline latency above which
	// AIMDLatency assumes overload; latencyCutFactor then multiplies the limit.
	inflationRatio   = 2.0
	latencyCutFactor = 0.9
	// gradientFloor bounds the decrease in one step of Gradient; gradientGain
	// smooths the steps.
	gradientFloor = 0.5
	gradientGain  = 0.2
	// maxProbeSlowdown bounds Limiter.probeSlowdown.
	maxProbeSlowdown = 32
	// minCutInterval is the least time between two cuts: replies to requests
	// sent before a cut carry no information about the new limit.
	minCutInterval = 20 * time.Millisecond
	// Gains of the moving averages of the recent and the baseline latency.
	recentGain   = 1.0 / 8
	baselineGain = 1.0 / 256
)

// Limiter decides how many of an upstream's published slots may be used. The
// published number can be too high: another VM may act as owner of the same
// upstream, or the upstream may be cold. The limit starts at one slot, grows by
// one with each success until the first shed, and then probes slowly for further
// slots. A Limiter is not safe for concurrent use.
type Limiter struct {
	policy    LimitPolicy
	published int
	limit     float64
	ramping   bool
	nextCutAt time.Time
	// probeSlowdown divides the rate at which the limit grows after the ramp. It
	// doubles with each cut, and halves with each slot after the first that is
	// gained since. Limits are small: without the slowdown, an upstream with
	// room for two of five slots would be probed with a third after every other
	// request.
	probeSlowdown float64
	// slotsGained is the number of slots gained since the last cut.
	slotsGained     int
	recentLatency   float64
	baselineLatency float64
}

// NewLimiter returns a limiter that starts at one of the published slots.
func NewLimiter(policy LimitPolicy, published int) *Limiter {
	l := &Limiter{policy: policy, published: published}
	l.Restart()
	return l
}

// Restart resets the limit to one slot and ramps up again. It is called after a
// take-over, a cold start or a lost connection.
func (l *Limiter) Restart() {
	l.limit = 1
	l.ramping = true
	l.probeSlowdown = 1
}

// SetPublished sets the published number of slots.
func (l *Limiter) SetPublished(n int) {
	l.published = n
	l.limit = max(1, min(l.limit, float64(n)))
}

// Limit returns how many slots may be used: between 1 and the published number,
// or 0 when none is published.
func (l *Limiter) Limit() int {
	if l.policy == Fixed || l.published == 0 {
		return l.published
	}
	return min(l.published, max(1, int(l.limit)))
}

// RecordShed records that the upstream refused a request because it had no free slot.
func (l *Limiter) RecordShed(now time.Time) {
	l.ramping = false
	l.cut(now, shedCutFactor)
}

// RecordSuccess records a reply after d. running is the number of requests that held a
// slot, including this one. The limit grows only when it is fully used, because
// otherwise nothing shows that the upstream can take more.
func (l *Limiter) RecordSuccess(now time.Time, d time.Duration, running int) {
	l.observe(d)
	switch {
	case l.policy == AIMDLatency && l.recentLatency > inflationRatio*l.baselineLatency:
		l.ramping = false
		l.cut(now, latencyCutFactor)
	case l.policy == Gradient && !l.ramping:
		l.followGradient()
	case running >= l.Limit():
		l.increase()
	}
}

func (l *Limiter) observe(d time.Duration) {
	v := float64(d)
	if l.baselineLatency == 0 {
		l.recentLatency, l.baselineLatency = v, v
		return
	}
	l.recentLatency += recentGain * (v - l.recentLatency)
	l.baselineLatency += baselineGain * (v - l.baselineLatency)
}

func (l *Limiter) increase() {
	before := l.Limit()
	step := 1.0
	if !l.ramping {
		step = 1 / (l.limit * l.probeSlowdown)
	}
	l.limit = min(float64(l.published), l.limit+step)
	if l.limit >= float64(l.published) {
		l.ramping = false
	}
	if l.Limit() > before {
		l.noteIncrease()
	}
}

func (l *Limiter) noteIncrease() {
	l.slotsGained++
	if l.slotsGained > 1 {
		l.probeSlowdown = max(1, l.probeSlowdown/2)
	}
}

func (l *Limiter) cut(now time.Time, factor float64) {
	if now.Before(l.nextCutAt) {
		return
	}
	l.nextCutAt = now.Add(minCutInterval)
	l.limit = max(1, l.limit*factor)
	l.probeSlowdown = min(maxProbeSlowdown, 2*l.probeSlowdown)
	l.slotsGained = 0
}

func (l *Limiter) followGradient() {
	ratio := max(gradientFloor, min(1, inflationRatio*l.baselineLatency/l.recentLatency))
	want := l.limit*ratio + 1
	l.limit = (1-gradientGain)*l.limit + gradientGain*want
	l.limit = max(1, min(l.limit, float64(l.published)))
}
