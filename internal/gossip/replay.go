package gossip

import "time"

const (
	// windowSize is how far a datagram may lag behind the highest sequence.
	windowSize = 64
	// maxSenders bounds the windows held.
	maxSenders = 4096
	// senderLife is how long the window of a silent sender is kept.
	senderLife = 24 * time.Hour
)

// window is the sequences taken from one sender's newest incarnation.
type window struct {
	incarnation uint64
	highest     uint64
	// seen has bit i set when highest-i was taken.
	seen  uint64
	heard time.Time
}

// Windows refuses datagrams that were taken before and those of an incarnation
// that a newer one has replaced. It is not safe for concurrent use.
type Windows struct {
	senders map[string]*window
}

// NewWindows holds no sender.
func NewWindows() *Windows {
	return &Windows{senders: map[string]*window{}}
}

// Take takes a datagram once; a reason says why it must be dropped.
func (w *Windows) Take(now time.Time, vm string, incarnation, sequence uint64) Reason {
	s := w.senders[vm]
	if s == nil {
		w.evict(now)
		s = &window{}
		w.senders[vm] = s
	}
	if incarnation < s.incarnation {
		return Outdated
	}
	if incarnation > s.incarnation {
		*s = window{incarnation: incarnation}
	}
	if !s.take(sequence) {
		return Replayed
	}
	s.heard = now
	return ""
}

func (s *window) take(sequence uint64) bool {
	if sequence > s.highest {
		s.seen = s.seen<<(sequence-s.highest) | 1
		s.highest = sequence
		return true
	}
	age := s.highest - sequence
	if age >= windowSize || s.seen&(1<<age) != 0 {
		return false
	}
	s.seen |= 1 << age
	return true
}

// evict makes room: names of VMs that are gone for good must not fill memory.
func (w *Windows) evict(now time.Time) {
	if len(w.senders) < maxSenders {
		return
	}
	var oldest string
	for vm, s := range w.senders {
		if now.Sub(s.heard) >= senderLife {
			delete(w.senders, vm)
			continue
		}
		if oldest == "" || s.heard.Before(w.senders[oldest].heard) {
			oldest = vm
		}
	}
	if len(w.senders) >= maxSenders {
		delete(w.senders, oldest)
	}
}
