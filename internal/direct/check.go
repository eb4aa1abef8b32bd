package direct

import (
	"net"
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/sockpeek"
)

const (
	// checkTimeout bounds a check of whether an upstream still listens: ten round trips
	// between regions. One that does not answer at all has not been shown to have ended.
	checkTimeout = 300 * time.Millisecond
	// checkKept is how long the outcome of a check stands for the upstream's other
	// connections that ended: they end within a moment, and a process takes longer to start.
	checkKept = 250 * time.Millisecond
	// bornWithin is how long a registration may take to show that a process which listens
	// again has started anew: three heartbeats and the way of the change to this VM.
	bornWithin = 10 * time.Second
	// maxUndecided bounds the checks that wait for it.
	maxUndecided = 64
)

// check is what was found out of whether an upstream's process has ended.
type check struct {
	running bool
	// told wait for the outcome.
	told  []func(ended bool)
	at    time.Time
	ended bool
	// undecided are told should it show within bornWithin that the process which listens
	// is another one.
	undecided []undecided
}

type undecided struct {
	until time.Time
	told  func(ended bool)
}

// wait keeps those who were told that the process lives.
func (c *check) wait(now time.Time, told []func(ended bool)) {
	c.undecided = slices.DeleteFunc(c.undecided, func(u undecided) bool { return now.After(u.until) })
	for _, f := range told {
		if len(c.undecided) < maxUndecided {
			c.undecided = append(c.undecided, undecided{now.Add(bornWithin), f})
		}
	}
}

// Check finds out whether the process of an upstream that closed a connection has ended, and
// tells it from another goroutine. Connections also end for reasons of their own, with the
// process alive and well: a proxy or the network reset them, or an answer was lost. Only
// where nobody listens any more, or another process has taken its place, has it ended. Of a
// process that is back before it is looked at, that shows later, by its registration: it is
// then told a second time.
func (p *Pools) Check(u *catalog.Upstream, told func(ended bool)) {
	p.mu.Lock()
	pool := p.pools[u.ID]
	p.mu.Unlock()
	if pool == nil || pool.upstream.StartedAfter(u) {
		go told(pool != nil)
		return
	}
	pool.check(time.Now(), told)
}

// check asks once for all that wait for the outcome.
func (p *Pool) check(now time.Time, told func(ended bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.checked.running:
		p.checked.told = append(p.checked.told, told)
	case now.Sub(p.checked.at) < checkKept:
		if !p.checked.ended {
			p.checked.wait(now, []func(bool){told})
		}
		go told(p.checked.ended)
	default:
		p.checked.running = true
		p.checked.told = []func(bool){told}
		go p.runCheck()
	}
}

func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}

func (p *Pool) runCheck() {
	ended, opened := sockpeek.NobodyListens(dialTCP, p.upstream.Address, checkTimeout)
	if opened {
		p.observer.Opened(p.upstream)
	}
	now := time.Now()
	p.mu.Lock()
	c := &p.checked
	told := c.told
	c.running, c.told, c.at, c.ended = false, nil, now, ended
	if !ended {
		c.wait(now, told)
	}
	p.mu.Unlock()
	for _, f := range told {
		f(ended)
	}
}

func (p *Pool) hasUndecided() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.checked.undecided) > 0
}

// taken tells whether another upstream has an address: what had it before has ended.
func taken(known map[string]*catalog.Upstream, address string) bool {
	for _, u := range known {
		if u.Address == address {
			return true
		}
	}
	return false
}

// startedAgain tells those who wait that the process has ended after all. The caller holds
// no lock.
func (p *Pool) startedAgain(now time.Time) {
	p.mu.Lock()
	waiting := p.checked.undecided
	p.checked.undecided = nil
	p.mu.Unlock()
	for _, u := range waiting {
		if !now.After(u.until) {
			u.told(true)
		}
	}
}
