package connpool

import (
	"net"
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/sockpeek"
)

const (
	// checkTimeout limits the dial that checks whether an upstream still listens: ten round
	// trips between regions. A dial that times out does not prove that the process ended.
	checkTimeout = 300 * time.Millisecond
	// checkTTL is how long the result of a check is reused for the upstream's other closed
	// connections. They close almost simultaneously, and a process takes longer to start.
	checkTTL = 250 * time.Millisecond
	// restartWindow limits the delay until a registration shows that the process which
	// listens is a new one: three heartbeats plus the propagation of the change to this VM.
	restartWindow = 10 * time.Second
	// maxRechecks limits the callbacks that wait for such a registration.
	maxRechecks = 64
)

// processCheck holds the last check whether an upstream's process has ended.
type processCheck struct {
	running bool
	// waiters are called with the result of the running check.
	waiters    []func(ended bool)
	finishedAt time.Time
	ended      bool
	// replaced is set once another process is known to have replaced this one.
	replaced bool
	// rechecks are called if a registration shows within restartWindow that the process
	// which listens is a new one.
	rechecks []recheck
}

// recheck is a callback that was notified of a live process and is notified again if that
// process turns out to be a new one.
type recheck struct {
	expires time.Time
	notify  func(ended bool)
}

// addRechecks drops expired rechecks and adds one for each callback that was notified of
// a live process.
func (c *processCheck) addRechecks(now time.Time, notify []func(ended bool)) {
	c.rechecks = slices.DeleteFunc(c.rechecks, func(u recheck) bool { return now.After(u.expires) })
	for _, f := range notify {
		if len(c.rechecks) < maxRechecks {
			c.rechecks = append(c.rechecks, recheck{now.Add(restartWindow), f})
		}
	}
}

// CheckProcess determines whether the process of an upstream that closed a connection has ended,
// and calls notify with the result from another goroutine. A closed connection alone is no
// proof: a proxy or the network may have reset it, or an answer was lost, while the process
// runs. The process has ended only if nothing listens on the address any more or if another
// process has replaced it. A process that restarts before the check runs is detected later
// by its registration; notify is then called a second time, with true.
func (p *Pools) CheckProcess(u *catalog.Upstream, notify func(ended bool)) {
	p.mu.Lock()
	pool := p.pools[u.ID]
	replaced := p.replaced(u)
	p.mu.Unlock()
	switch {
	case replaced || pool != nil && pool.upstream.StartedAfter(u):
		go notify(true)
	case pool == nil:
		go notify(false)
	default:
		pool.check(time.Now(), notify)
	}
}

// replaced reports whether the registrations show that the process of an upstream has ended: a
// later start, or another upstream at its address. The caller holds mu.
func (p *Pools) replaced(u *catalog.Upstream) bool {
	current := p.known[u.ID]
	if current == nil {
		return addressInUse(p.known, u.Address)
	}
	return current.StartedAfter(u)
}

// check starts a check, joins the running one or reuses the last result within checkTTL.
func (p *Pool) check(now time.Time, notify func(ended bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.process.replaced:
		go notify(true)
	case p.process.running:
		p.process.waiters = append(p.process.waiters, notify)
	case now.Sub(p.process.finishedAt) < checkTTL:
		if !p.process.ended {
			p.process.addRechecks(now, []func(bool){notify})
		}
		go notify(p.process.ended)
	default:
		p.process.running = true
		p.process.waiters = []func(bool){notify}
		go p.runCheck()
	}
}

func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}

// runCheck dials the upstream and notifies all waiters of the result.
func (p *Pool) runCheck() {
	ended, opened := sockpeek.DialRefused(dialTCP, p.upstream.Address, checkTimeout)
	if opened {
		p.observer.ConnectionOpened(p.upstream)
	}
	now := time.Now()
	p.mu.Lock()
	c := &p.process
	// The dial may have reached the process that replaced the one to be checked.
	ended = ended || c.replaced
	waiters := c.waiters
	c.running, c.waiters, c.finishedAt, c.ended = false, nil, now, ended
	if !ended {
		c.addRechecks(now, waiters)
	}
	p.mu.Unlock()
	for _, f := range waiters {
		f(ended)
	}
}

// awaitsRestart reports whether a callback waits for the result of a check or of a recheck.
func (p *Pool) awaitsRestart() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.process.running || len(p.process.rechecks) > 0
}

// addressInUse reports whether a known upstream has the address. A removed upstream that
// had the same address before has then ended.
func addressInUse(known map[string]*catalog.Upstream, address string) bool {
	for _, u := range known {
		if u.Address == address {
			return true
		}
	}
	return false
}

// reportRestart notifies the rechecks that have not expired, and a running check, that the
// process has ended after all. The caller must hold no lock.
func (p *Pool) reportRestart(now time.Time) {
	p.mu.Lock()
	p.process.replaced = true
	waiting := p.process.rechecks
	p.process.rechecks = nil
	p.mu.Unlock()
	for _, u := range waiting {
		if !now.After(u.expires) {
			u.notify(true)
		}
	}
}
