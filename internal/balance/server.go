package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/connpool"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
	"sycamorekeel.example/sycamorekeel/internal/virtualtime"
)

const (
	// queueLength is how many requests may wait at an upstream.
	queueLength = 16
	// pauseEvery and pauseFor are the pauses of an upstream, in the mean.
	pauseEvery = 4500 * time.Millisecond
	pauseFor   = 200 * time.Millisecond
	// paceFor is how long a VM's pace lasts; noisyShare of the paces are noisy.
	paceFor    = 450 * time.Millisecond
	noisyShare = 0.1
	noisyPace  = 2.5
	// coldPace is how many times as long a cold upstream works.
	coldPace = 1.6
	// workSpread is how far work is from its mean, either way.
	workSpread = 0.5
	// refusalTime is how long a refusal takes.
	refusalTime = time.Millisecond
)

// server is one upstream. What runs on it is stopped by pauses and takes as long as its pace.
type server struct {
	*catalog.Upstream
	clock *virtualtime.Clock
	rand  *rand.Rand
	// trouble is what befalls it now, zero for nothing.
	trouble Pattern
	pace    float64
	running int
	waiting []*job
	// pausedUntil is the end of the last pause, paused the sum of all.
	pausedUntil time.Time
	paused      time.Duration
}

// job is one request at an upstream.
type job struct {
	work time.Duration
	// begun is when work began, after so much of pauses.
	begun     time.Time
	paused    time.Duration
	running   bool
	withdrawn bool
	// ended gets how it ended, once, unless it was withdrawn.
	ended func(r scatter.Result, load *connpool.Load)
}

func newServer(clock *virtualtime.Clock, r *rand.Rand, u *catalog.Upstream) *server {
	return &server{Upstream: u, clock: clock, rand: r, pace: 1}
}

// live plans pauses and paces up to an end.
func (s *server) live(end time.Time) {
	s.plan(end, pauseEvery, func() {
		s.pausedUntil = s.clock.Now().Add(pauseFor)
		s.paused += pauseFor
	})
	s.plan(end, paceFor, func() {
		s.pace = 1
		if s.rand.Float64() < noisyShare {
			s.pace = noisyPace
		}
	})
}

// plan does something each time after about as long.
func (s *server) plan(end time.Time, every time.Duration, do func()) {
	next := time.Duration((0.5 + s.rand.Float64()) * float64(every))
	if s.clock.Now().Add(next).After(end) {
		return
	}
	s.clock.After(next, func() {
		do()
		s.plan(end, every, do)
	})
}

// load is what it reports.
func (s *server) load() *connpool.Load {
	return &connpool.Load{Running: s.running, Waiting: len(s.waiting), Slots: s.Slots, Slowdown: s.pace}
}

// arrive brings a request.
func (s *server) arrive(j *job) {
	switch {
	case s.trouble.Down:
		j.ended(scatter.Unreached, nil)
	case s.rand.Float64() < s.trouble.Refuse, s.running >= s.Slots && len(s.waiting) >= queueLength:
		load := s.load()
		s.clock.After(refusalTime, func() { j.ended(scatter.Refused, load) })
	case s.running >= s.Slots:
		s.waiting = append(s.waiting, j)
	default:
		s.begin(j)
	}
}

func (s *server) begin(j *job) {
	s.running++
	j.running = true
	j.begun = s.clock.Now()
	if j.begun.Before(s.pausedUntil) {
		j.begun = s.pausedUntil
	}
	j.paused = s.paused
	pace := s.pace * max(1, s.trouble.Slow)
	if s.trouble.Cold {
		pace *= coldPace
	}
	spread := 1 + workSpread*(2*s.rand.Float64()-1)
	j.work = time.Duration(float64(j.work) * spread * pace)
	s.clock.At(j.begun.Add(j.work), func() { s.proceed(j) })
}

// proceed ends a request unless pauses have held it up meanwhile.
func (s *server) proceed(j *job) {
	if !j.running {
		return
	}
	due := j.begun.Add(j.work + s.paused - j.paused)
	if due.After(s.clock.Now()) {
		s.clock.At(due, func() { s.proceed(j) })
		return
	}
	s.release(j)
	if s.rand.Float64() < s.trouble.Lose {
		j.ended(scatter.Lost, nil)
		return
	}
	j.ended(scatter.Answered, s.load())
}

// release frees the slot of a request for the next one.
func (s *server) release(j *job) {
	j.running = false
	s.running--
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.begin(next)
	}
}

// withdraw stops a request whose caller has closed its connection.
func (s *server) withdraw(j *job) {
	j.withdrawn = true
	if j.running {
		s.release(j)
		return
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(w *job) bool { return w == j })
}
