package balance

import (
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/congestion"
)

// The parameters of ByThreshold, as published for a system of services that call one another
// (DAGOR): the queueing time that counts as overload, the span after which the threshold
// moves, and the parts of the queries by which it moves.
const (
	queueingBound  = 20 * time.Millisecond
	thresholdSpan  = time.Second
	thresholdCount = 2000
	thresholdCut   = 0.05
	thresholdRaise = 0.01
	// usersPerClass is how many thresholds lie within one class.
	usersPerClass = 128
)

// thresholds admits the queries up to a level, 0 for the most urgent.
type thresholds struct {
	vm *vm
	// asked counts the queries of each level in this span, admitted those of them that were
	// admitted.
	asked    []int
	admitted int
	// level is the highest that is admitted.
	level int
	since time.Time
	// queued is the sum of the queueing times of parts parts, fastest the shortest answer
	// times of each kind, which are taken for those without a queue.
	queued  time.Duration
	parts   int
	fastest map[*Kind]time.Duration
	// retry computes Retry-After, as the single limit does.
	retry *congestion.Limiter
}

func newThresholds(v *vm) *thresholds {
	least := 0
	for _, k := range v.model.opts.Kinds {
		least = max(least, k.Priority)
	}
	n := (least + 1) * usersPerClass
	return &thresholds{
		vm: v, asked: make([]int, n), level: n - 1, since: v.model.clock.Now(), fastest: map[*Kind]time.Duration{}, retry: congestion.New(congestion.DefaultPolicy()),
	}
}

func (t *thresholds) ask(d *demand) {
	now := t.vm.model.clock.Now()
	if now.Sub(t.since) >= thresholdSpan || t.total() >= thresholdCount {
		t.move(now)
	}
	level := d.kind.Priority*usersPerClass + int(d.user*usersPerClass)
	t.asked[level]++
	if level > t.level {
		d.refuse(t.retry.RetryAfter(now))
		return
	}
	t.admitted++
	d.admit()
}

func (t *thresholds) total() int {
	n := 0
	for _, asked := range t.asked {
		n += asked
	}
	return n
}

// ended takes in how long the parts of a query have queued, at the VM and at upstreams.
func (t *thresholds) ended(_ *demand, q *query) {
	now := t.vm.model.clock.Now()
	for _, s := range q.sends {
		took := now.Sub(s.sentAt)
		if s.over && !s.endedAt.IsZero() {
			took = s.endedAt.Sub(s.sentAt)
		}
		if least, known := t.fastest[q.kind]; !known || took < least {
			t.fastest[q.kind] = took
		}
		t.queued += took - t.fastest[q.kind]
		t.parts++
	}
}

// move lowers the level to admit fewer queries after a span with overload, and raises it
// otherwise.
func (t *thresholds) move(now time.Time) {
	admitted := float64(t.admitted)
	if t.parts > 0 && t.queued/time.Duration(t.parts) > queueingBound {
		for target := (1 - thresholdCut) * admitted; admitted > target && t.level > 0; t.level-- {
			admitted -= float64(t.asked[t.level])
		}
	} else {
		for target := admitted + thresholdRaise*float64(t.total()); admitted < target && t.level < len(t.asked)-1; {
			t.level++
			admitted += float64(t.asked[t.level])
		}
	}
	t.asked = slices.Repeat([]int{0}, len(t.asked))
	t.admitted, t.queued, t.parts, t.since = 0, 0, 0, now
}
