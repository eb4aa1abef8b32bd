// Package strain tells whether a process gets too little of its processor: by how
// late it is woken. It is pure.
//
// A VM that has become slow still takes what callers send it; all of it waits for
// the processor, upstreams' answers lie unread, and hedges add to the load. It
// shows in no upstream's times. A process that knows it can tell its peers, so
// that callers are sent elsewhere, and refuse at once what would be late.
package strain

import "time"

const (
	// Every is how often the process is to be woken for a measurement.
	Every = 50 * time.Millisecond
	// late is the delay from which a waking counts as late. A healthy process is
	// woken within a millisecond or two.
	late = 8 * time.Millisecond
	// window is how many wakings are looked at: a second in a healthy process,
	// more in one that stalls.
	window = 20
	// high and low are how many of them are late when strain begins and ends. A
	// pause, however long, is one; a quota that is used up now and then makes
	// fewer late than these.
	high = 6
	low  = 1
)

// Meter measures one process. It is not safe for concurrent use.
type Meter struct {
	last time.Time
	// delays is a ring of the latest wakings' delays.
	delays   [window]time.Duration
	next     int
	late     int
	strained bool
}

// Woken takes in that the process was woken, Every after the time before; true
// when Strained has changed.
func (m *Meter) Woken(now time.Time) bool {
	last := m.last
	m.last = now
	if last.IsZero() {
		return false
	}
	m.add(max(now.Sub(last)-Every, 0))
	was := m.strained
	switch {
	case m.late >= high:
		m.strained = true
	case m.late <= low:
		m.strained = false
	}
	return m.strained != was
}

func (m *Meter) add(delay time.Duration) {
	if m.delays[m.next] >= late {
		m.late--
	}
	if delay >= late {
		m.late++
	}
	m.delays[m.next] = delay
	m.next = (m.next + 1) % window
}

// Lag is the mean delay of the latest wakings while the process is strained, else
// 0: a healthy process has none to speak of.
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

// Strained tells whether the process has too little of its processor.
func (m *Meter) Strained() bool { return m.strained }
