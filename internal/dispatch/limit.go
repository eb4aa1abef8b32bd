package dispatch

import "time"

// LimitPolicy selects how a limiter follows what the upstream can bear.
type LimitPolicy int

const (
	// AIMD adds a slot by and by and cuts on a shed; the default.
	AIMD LimitPolicy = iota
	// AIMDLatency cuts on inflated latency as well.
	AIMDLatency
	// Gradient follows the ratio of the usual to the present latency, and cuts
	// on a shed.
	Gradient
	// Fixed uses every published slot: the baseline for measurements.
	Fixed
)

const (
	// cutFactor is what a shed leaves of the limit.
	cutFactor = 0.7
	// inflated is the ratio of present to usual latency that AIMDLatency takes
	// for overload; latencyCut is what it leaves of the limit.
	inflated   = 2.0
	latencyCut = 0.9
	// gradientFloor bounds one step of Gradient; gradientGain smooths it.
	gradientFloor = 0.5
	gradientGain  = 0.2
	// maxPatience bounds the factor by which probing slows down.
	maxPatience = 32
	// cutPause is the least time between two cuts: replies under way when the
	// limit was cut tell nothing of the new limit.
	cutPause = 20 * time.Millisecond
	// Gains of the present and the usual latency.
	presentGain = 1.0 / 8
	usualGain   = 1.0 / 256
)

// Limiter decides how many of an upstream's published slots may be used. The
// published number can be too high: another VM may believe that it owns the
// upstream too, or the upstream may be cold. It starts at one slot, adds one for
// each success until the first shed, and then probes slowly.
type Limiter struct {
	policy    LimitPolicy
	published int
	limit     float64
	ramping   bool
	nextCut   time.Time
	// patience slows the probing for a further slot: it doubles with each cut,
	// and halves when more than one slot was gained since. Limits are small
	// numbers: without it an upstream that bears two of five slots would be
	// tried with a third after every other request.
	patience float64
	gained   int
	present  float64
	usual    float64
}

// NewLimiter starts at one slot of the published number.
func NewLimiter(policy LimitPolicy, published int) *Limiter {
	l := &Limiter{policy: policy, published: published}
	l.Restart()
	return l
}

// Restart goes back to one slot and ramps: after a take-over, a cold start or a
// time without a connection.
func (l *Limiter) Restart() {
	l.limit = 1
	l.ramping = true
	l.patience = 1
}

// Publish changes the published number of slots.
func (l *Limiter) Publish(n int) {
	l.published = n
	l.limit = max(1, min(l.limit, float64(n)))
}

// Limit is how many slots may be used: at least 1, at most those published,
// and none when none is published.
func (l *Limiter) Limit() int {
	if l.policy == Fixed || l.published == 0 {
		return l.published
	}
	return min(l.published, max(1, int(l.limit)))
}

// Shed takes in that the upstream refused for want of a slot.
func (l *Limiter) Shed(now time.Time) {
	l.ramping = false
	l.cut(now, cutFactor)
}

// Success takes in a reply after d; running is how many held a slot, itself
// included. A limit that was not reached is not raised: nothing shows that the
// upstream would bear more.
func (l *Limiter) Success(now time.Time, d time.Duration, running int) {
	l.observe(d)
	switch {
	case l.policy == AIMDLatency && l.present > inflated*l.usual:
		l.ramping = false
		l.cut(now, latencyCut)
	case l.policy == Gradient && !l.ramping:
		l.follow()
	case running >= l.Limit():
		l.raise()
	}
}

func (l *Limiter) observe(d time.Duration) {
	v := float64(d)
	if l.usual == 0 {
		l.present, l.usual = v, v
		return
	}
	l.present += presentGain * (v - l.present)
	l.usual += usualGain * (v - l.usual)
}

func (l *Limiter) raise() {
	before := l.Limit()
	step := 1.0
	if !l.ramping {
		step = 1 / (l.limit * l.patience)
	}
	l.limit = min(float64(l.published), l.limit+step)
	if l.limit >= float64(l.published) {
		l.ramping = false
	}
	if l.Limit() > before {
		l.gain()
	}
}

func (l *Limiter) gain() {
	l.gained++
	if l.gained > 1 {
		l.patience = max(1, l.patience/2)
	}
}

func (l *Limiter) cut(now time.Time, factor float64) {
	if now.Before(l.nextCut) {
		return
	}
	l.nextCut = now.Add(cutPause)
	l.limit = max(1, l.limit*factor)
	l.patience = min(maxPatience, 2*l.patience)
	l.gained = 0
}

func (l *Limiter) follow() {
	ratio := max(gradientFloor, min(1, inflated*l.usual/l.present))
	want := l.limit*ratio + 1
	l.limit = (1-gradientGain)*l.limit + gradientGain*want
	l.limit = max(1, min(l.limit, float64(l.published)))
}
