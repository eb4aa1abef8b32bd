package membership_test

import (
	"flag"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// machine is a rapid state machine. It applies random faults to five VMs and checks every
// node's record of every member after each step.
type machine struct {
	w *network
	// current is the newest process of each VM.
	current []*process
	started int
	leaving []bool
	held    map[*process]map[string]membership.Rank
}

const machineVMs = 5

func newMachine(seed uint64) *machine {
	m := &machine{w: newNetwork(seed), leaving: make([]bool, machineVMs), held: map[*process]map[string]membership.Rank{}}
	m.w.loss = 0.02
	m.w.duplicate = 0.05
	m.w.delay = reorder(m.w)
	m.w.fill(machineVMs)
	m.current = append(m.current, m.w.processes...)
	m.w.run(10 * time.Second)
	return m
}

// reorder delays one datagram in ten by up to a second.
func reorder(w *network) func() time.Duration {
	return func() time.Duration {
		if w.rand.IntN(10) == 0 {
			return time.Duration(w.rand.IntN(1000)) * time.Millisecond
		}
		return time.Duration(1+w.rand.IntN(12)) * time.Millisecond
	}
}

func (m *machine) draw(t *rapid.T) int { return rapid.IntRange(0, machineVMs-1).Draw(t, "vm") }

// Crash ends every process of a VM. If an old process resumed after its successor had
// crashed unseen by the others, they would rightly take it back.
func (m *machine) Crash(t *rapid.T) {
	name := vmName(m.draw(t))
	for _, p := range m.w.processes {
		p.down = p.down || p.name == name
	}
}

func (m *machine) Replace(t *rapid.T) {
	i := m.draw(t)
	if old := m.current[i]; !old.paused {
		// A paused process resumes later under the same name as the new one.
		old.down = true
	}
	// Two processes of a VM never start at the same moment.
	m.w.run(tick)
	m.started++
	m.current[i] = m.w.addAt(i, address(machineVMs+m.started))
	m.w.do(m.current[i], func(n *membership.Node) membership.Actions { return n.SetList(m.w.now, listed(machineVMs)) })
	m.leaving[i] = false
}

func (m *machine) Pause(t *rapid.T) { m.current[m.draw(t)].paused = true }

func (m *machine) Resume(*rapid.T) {
	for _, p := range m.w.processes {
		p.paused = false
	}
}

func (m *machine) Leave(t *rapid.T) {
	i := m.draw(t)
	p := m.current[i]
	if p.down || p.paused {
		return
	}
	m.leaving[i] = true
	m.w.do(p, func(n *membership.Node) membership.Actions { return n.Leave(m.w.now) })
}

func (m *machine) Cut(t *rapid.T) {
	from, to := vmName(m.draw(t)), vmName(m.draw(t))
	before := m.w.cut
	m.w.cut = func(a, b string) bool { return before(a, b) || a == from && b == to }
}

func (m *machine) Split(t *rapid.T) {
	at := vmName(m.draw(t))
	m.w.cut = func(a, b string) bool { return (a < at) != (b < at) }
}

func (m *machine) Heal(*rapid.T) { m.w.cut = func(string, string) bool { return false } }

func (m *machine) Wait(t *rapid.T) {
	for range rapid.IntRange(1, 60).Draw(t, "ticks") {
		m.w.run(tick)
		m.checkAll(t)
	}
}

// Check is called by rapid after each step.
func (m *machine) Check(t *rapid.T) { m.checkAll(t) }

func (m *machine) checkAll(t *rapid.T) {
	for _, p := range m.w.processes {
		if m.held[p] == nil {
			m.held[p] = map[string]membership.Rank{}
		}
		for i := range machineVMs {
			m.checkMember(t, p, vmName(i))
		}
	}
	if m.w.longest > membership.MaxDatagram {
		t.Fatalf("datagram of %d bytes", m.w.longest)
	}
}

func (m *machine) checkMember(t *rapid.T, p *process, vm string) {
	before, now := m.held[p][vm], p.node.Rank(vm)
	m.held[p][vm] = now
	if now.OlderThan(before) {
		t.Fatalf("%s held %+v of %s and reverts to %+v", p.name, before, vm, now)
	}
	if vm == p.name && now.State != pb.MemberState_ALIVE && now.State != pb.MemberState_LEAVING {
		t.Fatalf("%s holds itself %+v", vm, now)
	}
	if owner := m.owner(vm, now.Incarnation); owner != nil && owner.node.Rank(vm).Refutation < now.Refutation {
		t.Fatalf("%s holds %+v of %s, which never announced it", p.name, now, vm)
	}
}

// owner returns the process of an incarnation.
func (m *machine) owner(vm string, incarnation uint64) *process {
	for _, p := range m.w.processes {
		if p.name == vm && p.opts.Self.Incarnation == incarnation {
			return p
		}
	}
	return nil
}

// settle removes all faults and requires the views to agree.
func (m *machine) settle(t *rapid.T) {
	m.w.loss = 0
	m.Heal(t)
	m.Resume(t)
	m.publish()
	var want []int
	for i, p := range m.current {
		if !p.down && !m.leaving[i] {
			want = append(want, i)
		}
	}
	_, ok := m.w.runUntil(limit, func() bool { return m.agree(want) })
	if !ok {
		t.Fatalf("views do not agree on %v", want)
	}
}

// publish updates the platform's list to the current addresses.
func (m *machine) publish() {
	list := listed(machineVMs)
	for i, p := range m.current {
		list[i].PeerAddress = p.opts.Self.PeerAddress
	}
	for _, p := range m.w.processes {
		if !p.down {
			m.w.do(p, func(n *membership.Node) membership.Actions { return n.SetList(m.w.now, list) })
		}
	}
}

// agree checks the newest process of each VM. Older ones must know that they are
// superseded, unless no VM of another name is left to answer them.
func (m *machine) agree(want []int) bool {
	for _, p := range m.w.processes {
		if p == m.w.byVM[p.name] || p.down {
			continue
		}
		if m.others(p) && !strings.Contains(strings.Join(p.events, " "), "superseded") {
			return false
		}
		p.down = true
	}
	return m.w.agree(want...)
}

// others reports whether a VM of another name is up.
func (m *machine) others(p *process) bool {
	for _, o := range m.current {
		if o.name != p.name && !o.down {
			return true
		}
	}
	return false
}

// Guards against a VM that some nodes hold dead and others alive for good, and against a
// VM declared dead by a suspicion that it has refuted. Both come about when an outdated
// update is applied over a newer one. Faults are random crashes, replacements, pauses,
// stops, cuts one way and both ways, heals, loss, duplicates and reordering.
func TestMembershipUnderRandomFaults(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(rapid.Uint64().Draw(t, "seed"))
		t.Repeat(rapid.StateMachineActions(m))
		m.settle(t)
	})
}

// Guards against datagrams that are fragmented or lost because their size is limited by
// members and not by bytes. Every name and address has the maximum length.
func TestDatagramSizeWithLongNames(t *testing.T) {
	w := newNetwork(1)
	long := func(i int) string { return vmName(i) + strings.Repeat("x", 63-len(vmName(i))) }
	const ipv6 = "[2001:0db8:ffff:ffff:ffff:ffff:ffff:ffff]:65535"
	for i := range 40 {
		p := w.add(i)
		p.opts.Self.Vm = long(i)
		p.opts.Self.Region, p.opts.Self.DataCentre, p.opts.Self.Rack = long(1), long(2), long(3)
		p.opts.Self.CallerAddress = ipv6
		p.opts.Seeds = []string{address(0)}
		p.node = membership.New(w.now, p.opts)
	}
	w.run(90 * time.Second)
	if w.longest > membership.MaxDatagram {
		t.Fatalf("datagram of %d bytes", w.longest)
	}
	if got := len(w.processes[39].node.View().Serving()); got != 40 {
		t.Fatalf("%d members known, want 40", got)
	}
}
