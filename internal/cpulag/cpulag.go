// Package cpulag detects that a process gets too little CPU time, by the delay of its timer
// wake-ups. It reads no clock: callers pass the time.
//
// A VM that has become slow still accepts requests. They all wait for the CPU, upstreams'
// answers stay unread, and hedges add to the load, yet no upstream's latency shows it. A process
// that detects the delay can report it to its peers, so that callers are routed elsewhere, and
// can immediately refuse requests that it would answer too late.
package cpulag

import "time"

const (
	// Interval is the interval of the wake-ups that a Meter observes.
	Interval = 50 * time.Millisecond
	// lateThreshold is the delay from which a wake-up counts as late. A healthy process wakes
	// within a millisecond or two.
	lateThreshold = 8 * time.Millisecond
	// window is the number of latest wake-ups considered: those of one second in a healthy
	// process, and of a longer time in one that stalls.
	window = 20
	// Strain starts at startCount late wake-ups in the window and ends at endCount. A pause of
	// any length is a single late wake-up. A CPU quota that is exhausted now and then causes
	// fewer than startCount.
	startCount = 6
	endCount   = 1
)

// Meter measures one process. It is not safe for concurrent use.
type Meter struct {
	last time.Time
	// delays is a ring buffer of the latest wake-ups' delays.
	delays    [window]time.Duration
	next      int
	lateCount int
	strained  bool
}

// Observe records a wake-up scheduled Interval after the previous one. It reports whether the value
// of Strained has changed.
func (m *Meter) Observe(now time.Time) bool {
	last := m.last
	m.last = now
	if last.IsZero() {
		return false
	}
	m.add(max(now.Sub(last)-Interval, 0))
	was := m.strained
	switch {
	case m.lateCount >= startCount:
		m.strained = true
	case m.lateCount <= endCount:
		m.strained = false
	}
	return m.strained != was
}

func (m *Meter) add(delay time.Duration) {
	if m.delays[m.next] >= lateThreshold {
		m.lateCount--
	}
	if delay >= lateThreshold {
		m.lateCount++
	}
	m.delays[m.next] = delay
	m.next = (m.next + 1) % window
}

// Lag returns the mean delay of the latest wake-ups while the process is strained, else 0: the
// delays of a healthy process are negligible.
func (m *Meter) Lag() time.Duration {
	if !m.strained {
		return 0
	}
	var total time.Duration
	for _, d := range m.delays {
		total += d
	}
	return total / window
}

// Strained reports whether the process gets too little CPU time.
func (m *Meter) Strained() bool { return m.strained }
