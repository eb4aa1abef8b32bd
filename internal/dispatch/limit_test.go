package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestLimiter(t *testing.T) {
	const service = 10 * time.Millisecond
	for name, c := range map[string]struct {
		policy LimitPolicy
		drive  func(l *Limiter)
		want   int
	}{
		"starts at one":                    {AIMD, func(*Limiter) {}, 1},
		"ramps with each success":          {AIMD, func(l *Limiter) { succeed(l, 2) }, 3},
		"never above the published number": {AIMD, func(l *Limiter) { succeed(l, 100) }, 5},
		"a shed cuts":                      {AIMD, func(l *Limiter) { succeed(l, 4); l.RecordShed(at(0)) }, 3},
		"concurrent sheds cut once":        {AIMD, func(l *Limiter) { succeed(l, 4); l.RecordShed(at(0)); l.RecordShed(at(1)) }, 3},
		"never below one":                  {AIMD, func(l *Limiter) { shedStorm(l) }, 1},
		"recovers after a shed":            {AIMD, func(l *Limiter) { shedStorm(l); succeed(l, 250) }, 5},
		"an unused limit stays":            {AIMD, func(l *Limiter) { l.RecordSuccess(at(0), service, 0) }, 1},
		"the published number falls":       {AIMD, func(l *Limiter) { succeed(l, 4); l.SetPublished(2) }, 2},
		"nothing published":                {AIMD, func(l *Limiter) { l.SetPublished(0) }, 0},
		"fixed":                            {Fixed, shedStorm, 5},
		"gradient under inflation":         {Gradient, func(l *Limiter) { succeed(l, 20); inflate(l) }, 2},
		"latency under inflation":          {AIMDLatency, func(l *Limiter) { succeed(l, 20); inflate(l) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLimiter(c.policy, 5)
			c.drive(l)
			NewWithT(t).Expect(l.Limit()).To(Equal(c.want))
		})
	}
}

func succeed(l *Limiter, n int) {
	for range n {
		l.RecordSuccess(at(0), 10*time.Millisecond, l.Limit())
	}
}

func shedStorm(l *Limiter) {
	for i := range 20 {
		l.RecordShed(at(i * 100))
	}
}

func inflate(l *Limiter) {
	for i := range 30 {
		l.RecordSuccess(at(100*i), 80*time.Millisecond, l.Limit())
	}
}
