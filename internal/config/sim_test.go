package config

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Timing of the simulated fleet. Network delays are one-way.
const (
	simLocalDelay    = time.Millisecond
	simRemoteDelay   = 12 * time.Millisecond
	simPlatformDelay = 3 * time.Millisecond
	simTick          = 100 * time.Millisecond
	simGossip        = time.Second
	// simMembershipDelay is the time until the peers detect that a VM is gone.
	simMembershipDelay = 5 * time.Second
)

// sim runs a fleet of Syncers over a fake network in simulated time, independently
// of their rules. Each VM sends one heartbeat a second to a random peer, and both
// sides learn each other's revision from it.
type sim struct {
	now      time.Time
	random   *rand.Rand
	events   simEvents
	sequence uint64
	vms      []*simVM
	platform *simPlatformService
	// cut reports whether messages between two data centres are lost.
	cut func(from, to string) bool
	// bytes and messages count the traffic between daemons without heartbeats.
	bytes, messages int
	// losePushes drops every push.
	losePushes bool
	violations []string
}

type simVM struct {
	sim        *sim
	id         int
	dc         string
	generation int
	up         bool
	syncer     *Syncer
	inForce    map[string]uint64
	counted    map[PullEvent]int
	failed     map[FailureReason]int
	// startedWith is the revision of document a in force when the VM became
	// ready to serve.
	startedWith uint64
}

// simPlatformService is the platform: its history and injected failures.
type simPlatformService struct {
	history  history
	revision uint64
	reads    int
	waiting  []simWatch
	// served, when set, hides every revision above it.
	served func() uint64
	// fails, when set, returns the reason why a read fails, or "".
	fails func() FailureReason
	// drop, when set, reports whether a document is left out of a response.
	drop func(n *simVM, d *pb.PublishedDocument) bool
	// unreachableFrom holds the data centres that cannot reach the platform.
	unreachableFrom map[string]bool
}

type simWatch struct {
	vm         *simVM
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

// newSim returns a fleet of stopped VMs, distributed over the data centres.
func newSim(vms, dataCentres int, seed uint64) *sim {
	s := &sim{
		now:      time.Unix(1_000_000, 0),
		random:   rand.New(rand.NewPCG(seed, 1)),
		platform: &simPlatformService{unreachableFrom: map[string]bool{}},
		cut:      func(string, string) bool { return false },
	}
	for i := range vms {
		s.vms = append(s.vms, &simVM{sim: s, id: i, dc: fmt.Sprintf("dc-%d", i%dataCentres)})
	}
	return s
}

func (n *simVM) peer() Peer {
	return Peer{VM: fmt.Sprintf("vm-%d", n.id), DataCentre: n.dc, Address: fmt.Sprintf("address-%d", n.id)}
}

func (s *sim) find(address string) *simVM {
	var id int
	if _, err := fmt.Sscanf(address, "address-%d", &id); err != nil || id >= len(s.vms) {
		return nil
	}
	return s.vms[id]
}

func (s *sim) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{at: s.now.Add(d), sequence: s.sequence, run: run})
}

// run advances simulated time by d and runs the events that are due.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// startAll starts every VM at a random time within the next second.
func (s *sim) startAll() {
	for _, n := range s.vms {
		s.after(time.Duration(s.random.Int64N(int64(time.Second))), func() { n.start() })
	}
}

// start starts a new generation of the VM with an empty state.
func (n *simVM) start() {
	s := n.sim
	n.generation++
	n.up = true
	n.startedWith = 0
	n.inForce, n.counted, n.failed = map[string]uint64{}, map[PullEvent]int{}, map[FailureReason]int{}
	me := n.peer()
	n.syncer = NewSyncer(s.now, Options{
		VM: me.VM, DataCentre: me.DataCentre, Address: me.Address,
		Seeds:  []string{s.vms[0].peer().Address, s.vms[len(s.vms)/2].peer().Address},
		Random: rand.New(rand.NewPCG(uint64(n.id), uint64(n.generation))),
	})
	n.every(simTick, func() { n.step(Tick{}) })
	n.every(simGossip, n.heartbeat)
}

// stop crashes the VM; its peers detect it after simMembershipDelay.
func (n *simVM) stop() {
	n.up = false
	n.sim.after(simMembershipDelay, n.sim.updatePeers)
}

func (n *simVM) every(d time.Duration, run func()) {
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

// updatePeers sends the live members to every VM that has a configuration.
func (s *sim) updatePeers() {
	for _, n := range s.vms {
		if n.up && n.syncer.State().Revision() > 0 {
			n.step(Peers{List: s.livePeers(n)})
		}
	}
}

func (s *sim) livePeers(except *simVM) []Peer {
	var out []Peer
	for _, n := range s.vms {
		if n.up && n != except {
			out = append(out, n.peer())
		}
	}
	return out
}

// send delivers a message to another VM, or calls lost if that VM is down. A
// message across a partition is dropped silently.
func (s *sim) send(from, to *simVM, size int, deliver, lost func()) {
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

// heartbeat exchanges revisions between this VM and a random peer.
func (n *simVM) heartbeat() {
	to := n.sim.vms[n.sim.random.IntN(len(n.sim.vms))]
	if to == n || !to.up || n.sim.cut(n.dc, to.dc) {
		return
	}
	n.sim.after(simRemoteDelay, func() { to.receiveHeartbeat(n) })
	n.sim.after(2*simRemoteDelay, func() { n.receiveHeartbeat(to) })
}

func (n *simVM) receiveHeartbeat(from *simVM) {
	if n.up && from.up {
		n.step(RevisionClaimed{Address: from.peer().Address, Revision: from.syncer.State().Revision()})
	}
}

func (n *simVM) step(e Event) {
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

func (n *simVM) perform(a Action) {
	switch a := a.(type) {
	case Read:
		n.read(a)
	case Pull:
		n.pull(a)
	case Push:
		for _, address := range a.Addresses {
			n.push(n.sim.find(address), a.Page)
		}
	case CountPull:
		n.counted[a.Event]++
	case CountReadFailure:
		n.failed[a.Reason]++
	case StateChanged:
		n.step(Peers{List: n.sim.livePeers(n)})
	}
}

// check asserts that no document reverts to a lower revision.
func (n *simVM) check() {
	for name := range n.syncer.State().entries {
		got := n.syncer.State().InForce(name)
		if got < n.inForce[name] {
			n.sim.recordViolation("%s: %s reverted from %d to %d", n.peer().VM, name, n.inForce[name], got)
		}
		n.inForce[name] = got
	}
}

func (s *sim) recordViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (n *simVM) pull(a Pull) {
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
		to.step(RevisionClaimed{Address: n.peer().Address, Revision: a.Held})
		page := to.syncer.State().Since(a.After, a.AfterName)
		age := to.syncer.PlatformAge(n.sim.now)
		n.sim.send(to, n, pageSize(page), func() {
			if n.generation == life {
				n.step(Pulled{ID: a.ID, Page: page, Age: age})
			}
		}, func() {})
	}, lost)
}

func (n *simVM) push(to *simVM, page Page) {
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

// publish appends a version to the history and completes the open watches.
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

func (n *simVM) read(a Read) {
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
		w := simWatch{vm: n, generation: life, after: a.After, until: n.sim.now.Add(a.Wait)}
		if p.visible() > a.After || a.Wait == 0 {
			n.sim.answer(w)
			return
		}
		p.waiting = append(p.waiting, w)
		n.sim.after(a.Wait, func() { n.sim.expireWatches() })
	})
}

func (n *simVM) failRead(life int, reason FailureReason) {
	if n.up && n.generation == life {
		n.step(ReadFailed{Reason: reason})
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
			if !drop(w.vm, d) {
				kept = append(kept, d)
			}
		}
		page.Documents = kept
	}
	s.after(simPlatformDelay, func() {
		if w.vm.up && w.vm.generation == w.generation {
			w.vm.step(ReadCompleted{Page: page})
		}
	})
}

// untilInForce advances time until a document is in force at a revision on every
// live VM. It returns the elapsed time, and false if the limit is reached.
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
	for _, n := range s.vms {
		if n.up && n.syncer.State().InForce(name) < rev {
			return false
		}
	}
	return true
}

// count returns the number of occurrences of a pull event over the fleet.
func (s *sim) count(e PullEvent) int {
	sum := 0
	for _, n := range s.vms {
		sum += n.counted[e]
	}
	return sum
}

func (s *sim) failures(r FailureReason) int {
	sum := 0
	for _, n := range s.vms {
		sum += n.failed[r]
	}
	return sum
}
