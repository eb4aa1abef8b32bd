package config

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Times of the simulated network, one way.
const (
	simLocalDelay    = time.Millisecond
	simRemoteDelay   = 12 * time.Millisecond
	simPlatformDelay = 3 * time.Millisecond
	simTick          = 100 * time.Millisecond
	simGossip        = time.Second
	// simMembershipDelay is how long it takes until the peers know that a VM is gone.
	simMembershipDelay = 5 * time.Second
)

// sim is a fleet of Syncers over a fake network in simulated time. It knows
// nothing of their rules; heartbeats are one probe a second to one random peer,
// by which both sides learn each other's revision.
type sim struct {
	now      time.Time
	random   *rand.Rand
	events   simEvents
	sequence uint64
	nodes    []*simNode
	platform *simPlatformService
	// cut tells whether a message between two data centres is lost.
	cut func(from, to string) bool
	// bytes and messages between daemons, heartbeats left out.
	bytes, messages int
	// losePushes loses every push.
	losePushes bool
	violations []string
}

type simNode struct {
	sim        *sim
	id         int
	dc         string
	generation int
	up         bool
	syncer     *Syncer
	inForce    map[string]uint64
	counted    map[Counted]int
	failed     map[FailureReason]int
	// startedWith is the revision of document a when it began to serve.
	startedWith uint64
}

// simPlatformService is the platform: a history and the ways it fails.
type simPlatformService struct {
	history  history
	revision uint64
	reads    int
	waiting  []simWatch
	// served, when set, hides every revision above it.
	served func() uint64
	// fails, when set, may make a read fail.
	fails func() FailureReason
	// drop, when set, leaves a document out of answers.
	drop func(n *simNode, d *pb.PublishedDocument) bool
	// unreachableFrom data centres cannot reach it.
	unreachableFrom map[string]bool
}

type simWatch struct {
	node       *simNode
	generation int
	after      uint64
	until      time.Time
}

type simEvent struct {
	at       time.Time
	sequence uint64
	run      func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newSim makes a fleet that has not started, spread over data centres.
func newSim(nodes, dataCentres int, seed uint64) *sim {
	s := &sim{
		now:      time.Unix(1_000_000, 0),
		random:   rand.New(rand.NewPCG(seed, 1)),
		platform: &simPlatformService{unreachableFrom: map[string]bool{}},
		cut:      func(string, string) bool { return false },
	}
	for i := range nodes {
		s.nodes = append(s.nodes, &simNode{sim: s, id: i, dc: fmt.Sprintf("dc-%d", i%dataCentres)})
	}
	return s
}

func (n *simNode) peer() Peer {
	return Peer{VM: fmt.Sprintf("vm-%d", n.id), DataCentre: n.dc, Address: fmt.Sprintf("address-%d", n.id)}
}

func (s *sim) find(address string) *simNode {
	var id int
	if _, err := fmt.Sscanf(address, "address-%d", &id); err != nil || id >= len(s.nodes) {
		return nil
	}
	return s.nodes[id]
}

func (s *sim) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{at: s.now.Add(d), sequence: s.sequence, run: run})
}

// run lets simulated time pass.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// startAll starts every VM within a second.
func (s *sim) startAll() {
	for _, n := range s.nodes {
		s.after(time.Duration(s.random.Int64N(int64(time.Second))), func() { n.start() })
	}
}

// start begins a life of a VM that holds nothing.
func (n *simNode) start() {
	s := n.sim
	n.generation++
	n.up = true
	n.startedWith = 0
	n.inForce, n.counted, n.failed = map[string]uint64{}, map[Counted]int{}, map[FailureReason]int{}
	me := n.peer()
	n.syncer = NewSyncer(s.now, Options{
		VM: me.VM, DataCentre: me.DataCentre, Address: me.Address,
		Seeds:  []string{s.nodes[0].peer().Address, s.nodes[len(s.nodes)/2].peer().Address},
		Random: rand.New(rand.NewPCG(uint64(n.id), uint64(n.generation))),
	})
	n.every(simTick, func() { n.step(Tick{}) })
	n.every(simGossip, n.heartbeat)
}

// stop ends a VM at once; its peers know after a while.
func (n *simNode) stop() {
	n.up = false
	n.sim.after(simMembershipDelay, n.sim.updatePeers)
}

func (n *simNode) every(d time.Duration, run func()) {
	life := n.generation
	var again func()
	again = func() {
		if n.up && n.generation == life {
			run()
			n.sim.after(d, again)
		}
	}
	n.sim.after(time.Duration(n.sim.random.Int64N(int64(d))), again)
}

// updatePeers gives every VM that knows the list the live members.
func (s *sim) updatePeers() {
	for _, n := range s.nodes {
		if n.up && n.syncer.State().Revision() > 0 {
			n.step(Peers{List: s.livePeers(n)})
		}
	}
}

func (s *sim) livePeers(except *simNode) []Peer {
	var out []Peer
	for _, n := range s.nodes {
		if n.up && n != except {
			out = append(out, n.peer())
		}
	}
	return out
}

// send carries a message to another VM, or runs lost after a refused connection.
func (s *sim) send(from, to *simNode, size int, deliver, lost func()) {
	s.messages++
	s.bytes += size
	delay := simLocalDelay
	if from.dc != to.dc {
		delay = simRemoteDelay
	}
	if s.cut(from.dc, to.dc) {
		return
	}
	life := to.generation
	s.after(delay, func() {
		if !to.up || to.generation != life {
			lost()
			return
		}
		deliver()
	})
}

// heartbeat tells a random peer and this VM each other's revision.
func (n *simNode) heartbeat() {
	to := n.sim.nodes[n.sim.random.IntN(len(n.sim.nodes))]
	if to == n || !to.up || n.sim.cut(n.dc, to.dc) {
		return
	}
	n.sim.after(simRemoteDelay, func() { to.receiveHeartbeat(n) })
	n.sim.after(2*simRemoteDelay, func() { n.receiveHeartbeat(to) })
}

func (n *simNode) receiveHeartbeat(from *simNode) {
	if n.up && from.up {
		n.step(Heard{Address: from.peer().Address, Revision: from.syncer.State().Revision()})
	}
}

func (n *simNode) step(e Event) {
	started := n.syncer.Started()
	actions := n.syncer.Step(n.sim.now, e)
	for _, a := range actions {
		n.perform(a)
	}
	n.check()
	if !started && n.syncer.Started() {
		n.startedWith = n.syncer.State().InForce("a")
	}
}

func (n *simNode) perform(a Action) {
	switch a := a.(type) {
	case Read:
		n.read(a)
	case Pull:
		n.pull(a)
	case Push:
		for _, address := range a.Addresses {
			n.push(n.sim.find(address), a.Page)
		}
	case Count:
		n.counted[a.Event]++
	case CountFailure:
		n.failed[a.Reason]++
	case PutInForce:
		n.step(Peers{List: n.sim.livePeers(n)})
	}
}

// check asserts that nothing in force went back.
func (n *simNode) check() {
	for name := range n.syncer.State().entries {
		got := n.syncer.State().InForce(name)
		if got < n.inForce[name] {
			n.sim.recordViolation("%s: %s went back from %d to %d", n.peer().VM, name, n.inForce[name], got)
		}
		n.inForce[name] = got
	}
}

func (s *sim) recordViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (n *simNode) pull(a Pull) {
	to, life := n.sim.find(a.Address), n.generation
	lost := func() {
		n.sim.after(simLocalDelay, func() {
			if n.up && n.generation == life {
				n.step(PullLost{ID: a.ID})
			}
		})
	}
	request := &pb.ConfigPull{Id: a.ID, After: a.After, AfterName: a.AfterName, Held: a.Held}
	n.sim.send(n, to, proto.Size(request), func() {
		to.step(Heard{Address: n.peer().Address, Revision: a.Held})
		page := to.syncer.State().Since(a.After, a.AfterName)
		age := to.syncer.PlatformAge(n.sim.now)
		n.sim.send(to, n, pageSize(page), func() {
			if n.generation == life {
				n.step(Pulled{ID: a.ID, Page: page, Age: age})
			}
		}, func() {})
	}, lost)
}

func (n *simNode) push(to *simNode, page Page) {
	n.sim.send(n, to, pageSize(page), func() {
		if n.sim.losePushes {
			return
		}
		to.step(Pushed{Address: n.peer().Address, Page: page})
	}, func() {})
}

func pageSize(p Page) int {
	return proto.Size(&pb.ConfigDocuments{
		Id: 1 << 63, Revision: p.Revision, Documents: p.Documents, More: p.More,
		After: p.After, Digest: p.Digest, PlatformAgeMs: 1000,
	})
}

// publish puts a version in the history and answers the watches.
func (s *sim) publish(make func(name string, rev uint64) *pb.PublishedDocument, name string) uint64 {
	p := s.platform
	p.revision++
	p.history = append(p.history, make(name, p.revision))
	waiting := p.waiting
	p.waiting = nil
	for _, w := range waiting {
		s.answer(w)
	}
	return p.revision
}

func (n *simNode) read(a Read) {
	p, life := n.sim.platform, n.generation
	p.reads++
	if p.unreachableFrom[n.dc] {
		n.sim.after(time.Second, func() { n.failRead(life, Unreachable) })
		return
	}
	n.sim.after(simPlatformDelay, func() {
		if p.fails != nil {
			if reason := p.fails(); reason != "" {
				n.failRead(life, reason)
				return
			}
		}
		w := simWatch{node: n, generation: life, after: a.After, until: n.sim.now.Add(a.Wait)}
		if p.visible() > a.After || a.Wait == 0 {
			n.sim.answer(w)
			return
		}
		p.waiting = append(p.waiting, w)
		n.sim.after(a.Wait, func() { n.sim.expireWatches() })
	})
}

func (n *simNode) failRead(life int, reason FailureReason) {
	if n.up && n.generation == life {
		n.step(Failed{Reason: reason})
	}
}

func (p *simPlatformService) visible() uint64 {
	if p.served != nil {
		return min(p.served(), p.revision)
	}
	return p.revision
}

func (s *sim) expireWatches() {
	p := s.platform
	waiting := p.waiting
	p.waiting = nil
	for _, w := range waiting {
		if w.until.After(s.now) {
			p.waiting = append(p.waiting, w)
			continue
		}
		s.answer(w)
	}
}

func (s *sim) answer(w simWatch) {
	page := s.platform.history.serve(w.after, s.platform.visible())
	if drop := s.platform.drop; drop != nil {
		kept := page.Documents[:0]
		for _, d := range page.Documents {
			if !drop(w.node, d) {
				kept = append(kept, d)
			}
		}
		page.Documents = kept
	}
	s.after(simPlatformDelay, func() {
		if w.node.up && w.node.generation == w.generation {
			w.node.step(Answered{Page: page})
		}
	})
}

// untilInForce lets time pass until a document is in force at a revision on
// every live VM, and returns how long that took; false after the limit.
func (s *sim) untilInForce(name string, rev uint64, limit time.Duration) (time.Duration, bool) {
	const grain = 5 * time.Millisecond
	start := s.now
	for !s.allInForce(name, rev) {
		if s.now.Sub(start) >= limit {
			return s.now.Sub(start), false
		}
		s.run(grain)
	}
	return s.now.Sub(start), true
}

func (s *sim) allInForce(name string, rev uint64) bool {
	for _, n := range s.nodes {
		if n.up && n.syncer.State().InForce(name) < rev {
			return false
		}
	}
	return true
}

// count sums a counted event, or a failure, over the fleet.
func (s *sim) count(e Counted) int {
	sum := 0
	for _, n := range s.nodes {
		sum += n.counted[e]
	}
	return sum
}

func (s *sim) failures(r FailureReason) int {
	sum := 0
	for _, n := range s.nodes {
		sum += n.failed[r]
	}
	return sum
}
