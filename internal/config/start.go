package config

import "time"

const (
	// startPeers is how many peers a starting daemon asks at a time.
	startPeers = 3
	// startMost bounds the peers asked in one round: when a whole fleet starts,
	// nobody has anything to give.
	startMost = 9
	// startRetry is how often a daemon without a configuration asks again.
	startRetry = 2 * time.Second
)

// startState is the start: a daemon serves only after it has a configuration and
// has asked the platform and peers. The platform may be stale: taking its word
// alone would put a lower revision in force than the VM this one replaced had.
type startState struct {
	done bool
	// listed says that the peers in force are known.
	listed  bool
	tried   map[string]bool
	answers int
	retryAt time.Time
}

// advanceStart asks the next round of peers, or ends the start.
func (s *Syncer) advanceStart() {
	st := &s.start
	if st.done || s.now.Before(st.retryAt) || s.pulling(starting) {
		return
	}
	if st.answers == 0 && s.askStartPeers() {
		return
	}
	if !s.platform.tried {
		return
	}
	if s.state.Revision() > 0 {
		st.done = st.listed
		return
	}
	st.tried = map[string]bool{s.opts.Address: true}
	st.retryAt = s.now.Add(s.around(startRetry))
}

// askStartPeers pulls everything from peers not asked yet; false when there are
// none left.
func (s *Syncer) askStartPeers() bool {
	tried := s.start.tried
	asked := 0
	for _, address := range s.startAddresses() {
		if tried[address] || asked == startPeers || len(tried) > startMost {
			continue
		}
		tried[address] = true
		s.pull(address, 0, "", starting)
		asked++
	}
	return asked > 0
}

// startAddresses is the seeds and the known peers, each in random order.
func (s *Syncer) startAddresses() []string {
	out := append([]string(nil), s.opts.Seeds...)
	s.shuffle(out)
	known := len(out)
	for _, p := range s.peers {
		out = append(out, p.Address)
	}
	s.shuffle(out[known:])
	return out
}

func (s *Syncer) shuffle(list []string) {
	s.opts.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
