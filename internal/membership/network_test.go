package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// tick is the interval between ticks of the nodes, as in the driver.
const tick = 200 * time.Millisecond

// headerBytes is the size of the UDP and IP headers of a datagram.
const headerBytes = 28

// network carries datagrams between nodes in simulated time, with faults drawn from
// a fixed seed.
type network struct {
	now       time.Time
	rand      *rand.Rand
	processes []*process
	byVM      map[string]*process
	// byAddress maps an address to the process that currently receives there.
	byAddress map[string]*process
	flights   flights
	serial    uint64

	loss      float64
	duplicate float64
	delay     func() time.Duration
	// cut reports whether datagrams between two VMs are dropped in that direction.
	cut func(from, to string) bool

	bytes, datagrams, longest int
	// remoteBytes counts the bytes sent to other data centres.
	remoteBytes int
}

// process is a process of one VM in the network.
type process struct {
	name   string
	opts   membership.Options
	node   *membership.Node
	down   bool
	paused bool
	inbox  []*pb.Datagram
	// events are the actions other than sends, in order.
	events []string
	alone  bool
}

func newNetwork(seed uint64) *network {
	w := &network{
		now:       time.Unix(1_700_000_000, 0),
		rand:      rand.New(rand.NewPCG(seed, 1)),
		byVM:      map[string]*process{},
		byAddress: map[string]*process{},
		cut:       func(string, string) bool { return false },
	}
	w.delay = func() time.Duration { return time.Duration(1+w.rand.IntN(12)) * time.Millisecond }
	return w
}

func vmName(i int) string { return fmt.Sprintf("vm-%03d", i+1) }

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7100", i/200, i%200+1) }

func listed(count int) []*pb.VM {
	var out []*pb.VM
	for i := range count {
		out = append(out, &pb.VM{Id: vmName(i), State: pb.VMState_LIVE, Region: "north", DataCentre: "north-1",
			CallerAddress: "10.0.0.1:7000", PeerAddress: address(i)})
	}
	return out
}

// add starts a process of VM i.
func (w *network) add(i int) *process { return w.addAt(i, address(i)) }

// addAt starts a process of VM i at the given address.
func (w *network) addAt(i int, address string) *process {
	return w.addWith(membership.Options{
		Self: &pb.MemberUpdate{Vm: vmName(i), Incarnation: uint64(w.now.UnixMicro()) + uint64(i), Region: "north", DataCentre: "north-1",
			CallerAddress: "10.0.0.1:7000", PeerAddress: address},
		Seed: w.rand.Uint64(),
	})
}

// addBehind starts a process of VM i whose clock is set back.
func (w *network) addBehind(i int, by time.Duration, sole bool) *process {
	return w.addWith(membership.Options{
		Self: &pb.MemberUpdate{Vm: vmName(i), Incarnation: uint64(w.now.Add(-by).UnixMicro()), Region: "north", DataCentre: "north-1",
			CallerAddress: "10.0.0.1:7000", PeerAddress: address(i)},
		SoleProcess: sole,
		Seed:        w.rand.Uint64(),
	})
}

func (w *network) addWith(opts membership.Options) *process {
	p := &process{name: opts.Self.Vm, opts: opts}
	p.node = membership.New(w.now, p.opts)
	w.processes = append(w.processes, p)
	w.byVM[p.name] = p
	w.byAddress[opts.Self.PeerAddress] = p
	return p
}

// fill starts count VMs that all have the platform's list.
func (w *network) fill(count int) {
	for i := range count {
		w.do(w.add(i), func(n *membership.Node) membership.Actions { return n.SetList(w.now, listed(count)) })
	}
}

func (w *network) do(p *process, step func(*membership.Node) membership.Actions) {
	act := step(p.node)
	if act.Revalidate {
		p.events = append(p.events, "revalidate")
	}
	if act.Revalidated {
		p.events = append(p.events, "revalidated")
		p.alone = act.NoPeerAnswered
	}
	if act.Superseded != 0 {
		p.events = append(p.events, "superseded")
	}
	for _, s := range act.Sends {
		w.send(p, s)
	}
}

func (w *network) send(from *process, s membership.Send) {
	w.serial++
	s.Datagram.Sequence = w.serial
	size := proto.Size(s.Datagram) + membership.SignatureBytes
	w.bytes += size + headerBytes
	w.datagrams++
	w.longest = max(w.longest, size)
	if s.DataCentre != from.opts.Self.DataCentre {
		w.remoteBytes += size + headerBytes
	}
	to := w.byAddress[s.Address]
	if to == nil || w.cut(from.name, to.name) {
		return
	}
	copies := 1
	if w.rand.Float64() < w.duplicate {
		copies = 2
	}
	for range copies {
		if w.rand.Float64() < w.loss {
			continue
		}
		heap.Push(&w.flights, flight{at: w.now.Add(w.delay()), serial: w.serial, to: to, datagram: s.Datagram})
	}
}

// run advances simulated time. Each tick delivers the datagrams that are due and
// ticks every process that is up.
func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	for w.now.Before(end) {
		next := w.now.Add(tick)
		w.deliver(next)
		w.now = next
		for _, p := range w.processes {
			if p.down || p.paused {
				continue
			}
			w.drain(p)
			w.do(p, func(n *membership.Node) membership.Actions { return n.Tick(w.now) })
		}
	}
}

func (w *network) deliver(until time.Time) {
	for len(w.flights) > 0 && !w.flights[0].at.After(until) {
		f := heap.Pop(&w.flights).(flight)
		w.now = f.at
		if f.to.down {
			continue
		}
		f.to.inbox = append(f.to.inbox, f.datagram)
		if !f.to.paused {
			w.drain(f.to)
		}
	}
}

func (w *network) drain(p *process) {
	inbox := p.inbox
	p.inbox = nil
	for _, d := range inbox {
		copied := proto.CloneOf(d)
		w.do(p, func(n *membership.Node) membership.Actions {
			// The driver passes datagrams of replaced processes to ReplyToOutdated.
			if n.Rank(d.Sender.Vm).Incarnation > d.Sender.Incarnation {
				return n.ReplyToOutdated(w.now, copied.Sender)
			}
			return n.Receive(w.now, copied)
		})
	}
}

// state returns the state of one VM in another VM's view.
func (w *network) state(from, to int) pb.MemberState {
	m, _ := w.processes[from].node.View().Find(vmName(to))
	return m.State
}

// agree reports whether every process that is up sees exactly the members of want as
// serving.
func (w *network) agree(want ...int) bool {
	for _, p := range w.processes {
		if p.down || p.paused {
			continue
		}
		serving := p.node.View().Serving()
		if len(serving) != len(want) {
			return false
		}
		for i, m := range serving {
			if m.VM != vmName(want[i]) {
				return false
			}
		}
	}
	return true
}

// runUntil runs until ok returns true or the limit has passed, and returns the time
// it took.
func (w *network) runUntil(limit time.Duration, ok func() bool) (time.Duration, bool) {
	start := w.now
	for w.now.Sub(start) < limit {
		if ok() {
			return w.now.Sub(start), true
		}
		w.run(tick)
	}
	return limit, ok()
}

func upTo(n int, except ...int) []int {
	var out []int
	for i := range n {
		skip := false
		for _, e := range except {
			skip = skip || e == i
		}
		if !skip {
			out = append(out, i)
		}
	}
	return out
}

type flight struct {
	at       time.Time
	serial   uint64
	to       *process
	datagram *pb.Datagram
}

type flights []flight

func (f flights) Len() int { return len(f) }
func (f flights) Less(i, j int) bool {
	if !f[i].at.Equal(f[j].at) {
		return f[i].at.Before(f[j].at)
	}
	return f[i].serial < f[j].serial
}
func (f flights) Swap(i, j int) { f[i], f[j] = f[j], f[i] }
func (f *flights) Push(x any)   { *f = append(*f, x.(flight)) }
func (f *flights) Pop() any {
	old := *f
	last := old[len(old)-1]
	*f = old[:len(old)-1]
	return last
}
