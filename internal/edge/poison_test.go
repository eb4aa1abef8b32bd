package edge

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/direct"
	"sycamorekeel.example/sycamorekeel/internal/quarantine"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// The load of these tests: some VMs before the services of load_test.go, in virtual time,
// with words between VMs that take crashWord, of which some are lost.
const (
	// crashWork is how long a request that crashes its upstream runs.
	crashWork = 10 * time.Millisecond
	// crashDown is how long an upstream is down after a crash, crashCheck how long it takes
	// to find out that nobody listens there.
	crashDown  = 3 * time.Second
	crashCheck = 20 * time.Millisecond
	crashWord  = 15 * time.Millisecond
	// crashContact is the operators' shortest bound on how long a VM has been in contact with
	// the others when it must have heard of a request's third crash, crashMost how many
	// upstreams it may reach from then on.
	crashContact = 5 * time.Second
	crashMost    = 3
)

// crashes is several VMs, each an engine, whose upstreams end under some requests.
type crashes struct {
	*sim
	vms  []*crashVM
	down map[string]time.Time
	// running holds, for each upstream, what to do with the requests there when it ends.
	running map[string]map[int]func()
	// ended is when each of the crashes of the request at fault was, later how often VMs in
	// contact sent it to upstreams after the third.
	ended []time.Time
	later int
	// innocent counts the requests at no fault, refused the attempts at them that were
	// refused for what was held against them, unserved those that failed twice.
	innocent, refused, unserved int
	// lost is the part of the words that do not arrive.
	lost float64
	// faults draws which upstreams end when, the same in each run of a seed.
	faults *rand.Rand
	// blind says that VMs do not find out which upstreams ended, and so hold nothing
	// against any request.
	blind bool
}

// crashVM is one VM of them.
type crashVM struct {
	*sim
	fleet *crashes
	// dark VMs hear and tell nothing; since is since when this one is in contact.
	dark  bool
	since time.Time
	// calls gives the request of a call, by its message.
	calls map[*direct.Message]*attempted
}

// attempted is an attempt under way and what its caller does with its answer.
type attempted struct {
	*load
	done func(Answer)
}

// crashSeeds and blameSeeds are how many runs each row has. At blameRate requests a second
// the draws of two runs differ by a third of what the check allows.
const (
	crashSeeds = 2
	blameSeeds = 4
	blameRate  = 200
)

const poisonPath = "/q/poison"

func newCrashes(seed uint64, vms int) *crashes {
	c := &crashes{sim: newSim(seed), down: map[string]time.Time{}, running: map[string]map[int]func(){}, lost: 0.1, faults: rand.New(rand.NewPCG(seed, 9))}
	for i := range vms {
		c.vms = append(c.vms, c.newVM(seed*1000+uint64(i)))
	}
	return c
}

func (c *crashes) newVM(seed uint64) *crashVM {
	v := &crashVM{sim: newSim(seed), fleet: c, since: c.clock.Now(), calls: map[*direct.Message]*attempted{}}
	e := v.engine
	e.now = c.clock.Now
	e.do = v.call
	e.check = func(u *catalog.Upstream, told func(bool)) {
		c.clock.At(c.clock.Now().Add(crashCheck), func() {
			told(c.isDown(u.ID) && !c.blind)
			v.tell()
		})
	}
	return v
}

func (c *crashes) isDown(id string) bool { return c.clock.Now().Before(c.down[id]) }

// end ends an upstream and everything that runs there.
func (c *crashes) end(id string) {
	if c.isDown(id) {
		return
	}
	c.down[id] = c.clock.Now().Add(crashDown)
	running := c.running[id]
	delete(c.running, id)
	for _, n := range slices.Sorted(maps.Keys(running)) {
		running[n]()
	}
}

// upstreams is the names of all upstreams, in order.
func (c *crashes) upstreams() []string { return slices.Sorted(maps.Keys(c.view.Upstreams)) }

// ask brings a request to a VM, which runs it, holds it or refuses it.
func (v *crashVM) ask(path string, attempt int, done func(a Answer)) {
	c := v.fleet
	h := &fasthttp.RequestHeader{}
	h.SetRequestURI(path)
	r := &Request{Host: "h", Path: path, Received: c.clock.Now(), Deadline: simDeadline, Message: &direct.Message{ID: fmt.Sprint(path, "#", attempt, "@", c.asks), Header: h}}
	r.Route = v.view.Table.Lookup("h", path)
	w := quarantine.Wait(c.clock.Now(), c.rand.Float64())
	v.admit(r, &w, done)
}

// admit does what Engine.serve does for a request, in virtual time.
func (v *crashVM) admit(r *Request, w *quarantine.Waiting, done func(a Answer)) {
	c := v.fleet
	a := v.engine.poison.Step(c.clock.Now(), r.content(), w)
	switch {
	case !a.Again.IsZero():
		c.clock.At(a.Again, func() { v.admit(r, w, done) })
		return
	case a.Standing == quarantine.Blocked:
		done(refuse(Poison, a.Until.Sub(c.clock.Now())))
		return
	case a.Held:
		done(refuse(Held, heldRetry))
		return
	}
	r.trial = a.Standing == quarantine.Suspect
	v.tell()
	l := &attempted{&load{run: v.engine.newRun(v.view, r)}, done}
	v.calls[r.Message] = l
	v.step(l, func() { l.dispatch(l.query.Start(c.clock.Now())) })
}

// step moves an attempt on and plans its next wake.
func (v *crashVM) step(l *attempted, move func()) {
	c := v.fleet
	if l.counted {
		return
	}
	move()
	v.tell()
	if verdict := l.query.Verdict(); verdict != nil {
		l.counted = true
		delete(v.calls, l.req.Message)
		l.withdraw()
		l.close()
		v.tell()
		l.done(l.answer(verdict))
		return
	}
	c.clock.At(l.query.Next(), func() {
		v.step(l, func() { l.dispatch(l.query.Tick(c.clock.Now())) })
	})
}

// call carries one send: an upstream that is down cannot be reached, and what runs at one
// ends with it.
func (v *crashVM) call(call *direct.Call) {
	c := v.fleet
	l := v.calls[call.Message]
	u := call.Upstream
	sent := c.clock.Now()
	reply := func(r scatter.Result) {
		v.step(l, func() {
			call.Done(direct.Reply{Result: r, Took: c.clock.Now().Sub(sent), Response: &fasthttp.Response{}})
			l.takeReplies()
		})
	}
	if c.isDown(u.ID) {
		c.clock.At(c.clock.Now().Add(time.Millisecond), func() { reply(scatter.Unreached) })
		return
	}
	c.asks++
	n := c.asks
	if c.running[u.ID] == nil {
		c.running[u.ID] = map[int]func(){}
	}
	c.running[u.ID][n] = func() { c.clock.At(c.clock.Now(), func() { reply(scatter.Broken) }) }
	if l.req.Path == poisonPath {
		v.countPoison()
		c.clock.At(c.clock.Now().Add(crashWork), func() {
			if _, runs := c.running[u.ID][n]; runs && !l.counted {
				c.ended = append(c.ended, c.clock.Now())
				c.end(u.ID)
			}
		})
		return
	}
	c.clock.At(c.clock.Now().Add(c.usual(u)), func() {
		if _, runs := c.running[u.ID][n]; runs {
			delete(c.running[u.ID], n)
			reply(scatter.Answered)
		}
	})
}

// countPoison counts a send of the request at fault, if operators' bound holds for it.
func (v *crashVM) countPoison() {
	c := v.fleet
	if len(c.ended) < 3 || v.dark {
		return
	}
	if c.clock.Now().Sub(c.ended[2]) > crashContact && c.clock.Now().Sub(v.since) > crashContact {
		c.later++
	}
}

// tell carries what is new from a VM to the others, as package node does.
func (v *crashVM) tell() {
	c := v.fleet
	entries, _ := v.engine.poison.News(c.clock.Now())
	v.send(entries, c.vms)
}

func (v *crashVM) send(entries []quarantine.Entry, to []*crashVM) {
	c := v.fleet
	if len(entries) == 0 || v.dark {
		return
	}
	for _, peer := range to {
		if peer == v || c.rand.Float64() < c.lost {
			continue
		}
		c.clock.At(c.clock.Now().Add(crashWord), func() {
			if !peer.dark {
				peer.engine.poison.Learn(c.clock.Now(), "peer", entries, 0)
			}
		})
	}
}

// play runs until simEnd; once a second VMs repeat what they know to two others.
func (c *crashes) play() {
	for d := time.Second; d < simEnd; d += time.Second {
		c.clock.At(c.start.Add(d), func() {
			for _, v := range c.vms {
				v.engine.Tick(c.clock.Now())
				v.engine.poison.Expire(c.clock.Now())
				v.tell()
				peers := []*crashVM{c.vms[c.rand.IntN(len(c.vms))], c.vms[c.rand.IntN(len(c.vms))]}
				v.send(v.engine.poison.Repeat(c.clock.Now()), peers)
			}
		})
	}
	c.clock.Run()
}

// poison brings the request at fault to VMs drawn at random, and once more to another VM
// when it has failed, as callers do.
func (c *crashes) poison(at time.Duration, path string) {
	c.clock.At(c.start.Add(at), func() {
		c.anyVM().ask(path, 1, func(a Answer) {
			if a.Reason != "" {
				c.clock.At(c.clock.Now().Add(min(a.RetryAfter, 300*time.Millisecond)), func() { c.anyVM().ask(path, 2, func(Answer) {}) })
			}
		})
	})
}

func (c *crashes) anyVM() *crashVM { return c.vms[c.rand.IntN(len(c.vms))] }

// callers bring a request of other content each 1/rate seconds, and once more to another VM
// when it has failed.
func (c *crashes) callers(rate int, from, to time.Duration) {
	for at, i := from, 0; at < to; at, i = at+time.Second/time.Duration(rate), i+1 {
		path := fmt.Sprintf("/%c/%d", "qp"[i%2], i)
		c.clock.At(c.start.Add(at), func() {
			c.innocent++
			c.anyVM().ask(path, 1, func(a Answer) {
				c.count(a)
				if a.Reason == "" {
					return
				}
				c.clock.At(c.clock.Now().Add(min(a.RetryAfter, 300*time.Millisecond)+time.Millisecond), func() {
					c.anyVM().ask(path, 2, func(a Answer) {
						c.count(a)
						if a.Reason != "" {
							c.unserved++
						}
					})
				})
			})
		})
	}
}

func (c *crashes) count(a Answer) {
	if a.Reason == Poison || a.Reason == Held {
		c.refused++
	}
}

// Symptom: upstreams of a service end by the dozen under one request, long after every VM
// could know of it.
// Sequence: each row is a way in which it comes: once, in series, at several VMs in the same
// moment, after a pause; words between VMs are lost, and VMs start or are cut off meanwhile.
// Cause: each VM began anew with each attempt. What is counted is what operators bound: the
// sends that reach upstreams later than the time to hear of the third crash.
func TestAPoisonRequestIsWithheldByAllVMs(t *testing.T) {
	const s = time.Second
	for _, row := range []struct {
		name string
		at   []time.Duration
		path string
	}{
		{"one a second", eachGap(time.Second, 1, 29), poisonPath},
		{"ten a second", eachGap(100*time.Millisecond, 1, 29), poisonPath},
		{"bursts", burst(12, 1*s, 8*s, 16*s, 24*s), poisonPath},
		{"one, and bursts later", append([]time.Duration{1 * s}, burst(12, 8*s, 16*s, 24*s)...), poisonPath},
		{"each seven seconds", []time.Duration{1 * s, 8 * s, 15 * s, 22 * s, 29 * s}, poisonPath},
	} {
		for seed := range uint64(crashSeeds) {
			c := newCrashes(seed+1, 9)
			c.callers(40, 0, simEnd)
			for _, at := range row.at {
				c.poison(at, row.path)
			}
			// A VM that is cut off for a while, and one that starts.
			c.clock.At(c.start.Add(6*s), func() { c.vms[1].dark = true })
			c.clock.At(c.start.Add(10*s), func() { c.vms[1].dark, c.vms[1].since = false, c.clock.Now() })
			c.clock.At(c.start.Add(9*s), func() {
				late := c.newVM(seed + 77)
				for _, e := range c.vms[0].engine.poison.All(c.clock.Now(), 100) {
					late.engine.poison.Learn(c.clock.Now(), "seed", []quarantine.Entry{e}, 0)
				}
				c.vms = append(c.vms, late)
			})
			c.play()
			t.Logf("%s, seed %d: %d upstreams ended, %d sends later; of %d others %d refused, %d unserved", row.name, seed, len(c.ended), c.later, c.innocent, c.refused, c.unserved)
			if len(c.ended) < 3 {
				t.Errorf("%s, seed %d: %d upstreams ended: the request does nothing", row.name, seed, len(c.ended))
			}
			if c.later > crashMost {
				t.Errorf("%s, seed %d: sent %d times later on", row.name, seed, c.later)
			}
			if c.refused > 0 {
				t.Errorf("%s, seed %d: of %d requests at no fault %d were refused", row.name, seed, c.innocent, c.refused)
			}
		}
	}
}

func eachGap(gap time.Duration, from, to int) []time.Duration {
	var out []time.Duration
	for at := time.Duration(from) * time.Second; at < time.Duration(to)*time.Second; at += gap {
		out = append(out, at)
	}
	return out
}

// burst is so many attempts within a tenth of a second at each of some times.
func burst(n int, at ...time.Duration) []time.Duration {
	r := rand.New(rand.NewPCG(uint64(n), 3))
	var out []time.Duration
	for _, a := range at {
		for range n {
			out = append(out, a+time.Duration(r.Int64N(int64(100*time.Millisecond))))
		}
	}
	return out
}

// Symptom: requests are refused, or held up, after upstreams have ended for reasons of their
// own.
// Sequence: each row ends many upstreams under the requests that they have; the same is asked
// again later, by callers who try twice.
// Cause: a crash was held against whoever was there.
func TestRequestsAreNotBlamedForCrashesOfUpstreams(t *testing.T) {
	const s = time.Second
	for _, row := range []struct {
		name string
		ends func(c *crashes)
	}{
		{"all at once", func(c *crashes) { c.endSome(1) }},
		{"half at once", func(c *crashes) { c.endSome(0.5) }},
		{"all within a second", func(c *crashes) {
			for _, id := range c.upstreams() {
				c.clock.At(c.clock.Now().Add(time.Duration(c.faults.Int64N(int64(time.Second)))), func() { c.end(id) })
			}
		}},
		{"all within 20 ms", func(c *crashes) {
			for _, id := range c.upstreams() {
				c.clock.At(c.clock.Now().Add(time.Duration(c.faults.Int64N(int64(20*time.Millisecond)))), func() { c.end(id) })
			}
		}},
		{"one after the other", func(c *crashes) {
			i := 0
			for _, id := range c.upstreams() {
				c.clock.At(c.clock.Now().Add(time.Duration(i)*150*time.Millisecond), func() { c.end(id) })
				i++
			}
		}},
	} {
		unserved, without, asked := 0, 0, 0
		for seed := range uint64(blameSeeds) {
			play := func(blind bool) *crashes {
				c := newCrashes(seed+1, 9)
				c.blind = blind
				c.callers(blameRate, 0, simEnd)
				for _, at := range []time.Duration{4 * s, 12 * s, 20 * s} {
					c.clock.At(c.start.Add(at), func() { row.ends(c) })
				}
				c.play()
				return c
			}
			c, blind := play(false), play(true)
			unserved, without, asked = unserved+c.unserved, without+blind.unserved, asked+c.innocent
			if c.refused > 0 {
				t.Errorf("%s, seed %d: of %d requests at no fault %d were refused", row.name, seed, c.innocent, c.refused)
			}
		}
		t.Logf("| %s | %d | %d | %d |", row.name, asked, unserved, without)
		// As many are served as by VMs that hold nothing against anybody, but for what the
		// draws of two runs differ by.
		if unserved-without > asked/200 {
			t.Errorf("%s: of %d requests %d were not served, and %d without a quarantine", row.name, asked, unserved, without)
		}
	}
}

// endSome ends a part of the upstreams in this moment.
func (c *crashes) endSome(part float64) {
	for _, id := range c.upstreams() {
		if c.faults.Float64() < part {
			c.end(id)
		}
	}
}
