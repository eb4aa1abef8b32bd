package config

import "time"

const (
	// startBatchSize is the number of peers that a starting daemon pulls from at once.
	startBatchSize = 3
	// maxStartPeers bounds the peers queried in one round: when the whole fleet
	// starts, no peer has a configuration.
	maxStartPeers = 9
	// startRetryInterval is the delay between rounds while a daemon has no
	// configuration.
	startRetryInterval = 2 * time.Second
)

// startState tracks the startup phase. A daemon serves only after it has a
// configuration and has queried both the platform and peers: a stale platform
// alone would put a lower revision in force than the replaced VM had.
type startState struct {
	done bool
	// peersKnown is set if a configuration was held at the last Peers event, so
	// that the peers are those of the configuration and not only the seeds.
	peersKnown bool
	tried      map[string]bool
	responses  int
	retryAt    time.Time
}

// advanceStart pulls from the next batch of peers or completes the startup.
func (s *Syncer) advanceStart() {
	st := &s.start
	if st.done || s.now.Before(st.retryAt) || s.hasOpenPull(purposeStart) {
		return
	}
	if st.responses == 0 && s.pullStartBatch() {
		return
	}
	if !s.platform.attempted {
		return
	}
	if s.state.Revision() > 0 {
		st.done = st.peersKnown
		return
	}
	st.tried = map[string]bool{s.opts.Address: true}
	st.retryAt = s.now.Add(s.jitter(startRetryInterval))
}

// pullStartBatch starts a full pull from peers that have not been tried in this
// round. It returns false if there are none left.
func (s *Syncer) pullStartBatch() bool {
	tried := s.start.tried
	asked := 0
	for _, address := range s.startAddresses() {
		if tried[address] || asked == startBatchSize || len(tried) > maxStartPeers {
			continue
		}
		tried[address] = true
		s.startPull(address, 0, "", purposeStart)
		asked++
	}
	return asked > 0
}

// startAddresses returns the seeds followed by the known peers, each group in
// random order.
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
