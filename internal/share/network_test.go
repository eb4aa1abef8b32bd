package share_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamorekeel.example/sycamorekeel/internal/share"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261202")
	}
	os.Exit(m.Run())
}

// drift is how much faster or slower than real time the clocks run.
const drift = 0.01

// step is the real time between two looks at the network.
const step = 10 * time.Millisecond

var (
	search = share.Kind{Customer: "ferry-agents", Name: "quick-suggest"}
	timing = share.Timing{Lease: share.DefaultLease}
	epoch  = time.Unix(1_000_000, 0)
)

// network is a few VMs with clocks of their own, seen from outside.
type network struct {
	t      fataler
	random *rand.Rand
	now    time.Duration
	vms    []*vm
	flight []packet
	// longest is the most a message is delayed; loss and twice are chances.
	longest     time.Duration
	loss, twice float64
	cut         map[[2]string]bool
	messages    int
	bytes       int
	// highest is the highest limit that was in force anywhere.
	highest share.Amount
	// most is the highest sum of shares seen.
	most share.Amount
}

type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// packet is a message under way.
type packet struct {
	at       time.Duration
	from, to string
	event    share.Event
}

// vm is one simulated VM. Its clock runs at rate times real time.
type vm struct {
	name        string
	rate        float64
	offset      time.Duration
	incarnation uint64
	state       *share.State
	view        share.Limit
	share       share.Share
	paused      bool
	inbox       []packet
	nextTick    time.Duration
	// demand is in requests a second and at a time; requests last for length.
	demand float64
	wants  int
	length time.Duration
	// ends of the running requests, in real time.
	running []time.Duration
	peak    int
	// usable is the integral of the usable rate over time.
	usable float64
}

func newNetwork(t fataler, seed uint64, limit share.Limit) *network {
	n := &network{t: t, random: rand.New(rand.NewPCG(seed, 7)), longest: 30 * time.Millisecond, cut: map[[2]string]bool{}}
	for i, name := range limit.Members {
		v := &vm{name: name, rate: 1 + drift*float64(i%3-1), offset: time.Duration(i) * time.Hour, view: limit, length: limit.Hold}
		v.nextTick = time.Duration(n.random.Int64N(int64(timing.Tick())))
		n.vms = append(n.vms, v)
		n.restart(v)
	}
	return n
}

func limitOf(rate float64, concurrency int, members ...string) share.Limit {
	return share.Limit{
		Kind:    search,
		Amount:  share.Amount{Rate: rate, Burst: concurrency, Concurrency: concurrency},
		Members: members,
		Hold:    600 * time.Millisecond,
	}
}

func (n *network) clock(v *vm) time.Time {
	return epoch.Add(v.offset + time.Duration(float64(n.now)*v.rate))
}

// restart replaces the process: its requests end, its state is forgotten.
func (n *network) restart(v *vm) {
	v.incarnation++
	v.state = share.New(share.Options{VM: v.name, Incarnation: v.incarnation, Started: n.clock(v), Timing: timing})
	v.share, v.running, v.inbox, v.paused = share.Share{}, nil, nil, false
	n.configure(v, v.view)
}

func (n *network) configure(v *vm, l share.Limit) {
	n.raise(v.view.Amount)
	v.view = l
	n.carry(v, v.state.Step(n.clock(v), share.Configured{Limits: []share.Limit{l}}))
}

func (n *network) vm(name string) *vm {
	return n.vms[slices.IndexFunc(n.vms, func(v *vm) bool { return v.name == name })]
}

// carry carries actions out.
func (n *network) carry(v *vm, actions []share.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case share.Set:
			v.share = a.Share
		case share.SendAck:
			n.send(v.name, a.To, share.Ack{From: v.name, Message: a.Message}, a.Message)
		case share.SendLoan:
			n.send(v.name, a.To, share.Lent{From: v.name, Message: a.Message}, a.Message)
		}
	}
}

func (n *network) send(from, to string, e share.Event, m proto.Message) {
	n.messages++
	n.bytes += proto.Size(m)
	copies := 1
	if n.random.Float64() < n.twice {
		copies = 2
	}
	for range copies {
		if n.cut[[2]string{from, to}] || n.random.Float64() < n.loss {
			continue
		}
		delay := time.Duration(n.random.Int64N(int64(n.longest)))
		n.flight = append(n.flight, packet{at: n.now + delay, from: from, to: to, event: e})
	}
}

// run lets real time pass and checks the sums at every look.
func (n *network) run(d time.Duration) {
	n.t.Helper()
	for end := n.now + d; n.now < end; {
		n.now += step
		n.deliver()
		for _, v := range n.vms {
			n.live(v)
		}
		n.check()
	}
}

func (n *network) deliver() {
	n.flight = slices.DeleteFunc(n.flight, func(p packet) bool {
		if p.at > n.now {
			return false
		}
		if i := slices.IndexFunc(n.vms, func(v *vm) bool { return v.name == p.to }); i >= 0 {
			n.vms[i].inbox = append(n.vms[i].inbox, p)
		}
		return true
	})
}

// live is one look at one VM: requests start before anything else, as they may
// when a process wakes up, then the inbox, then the tick.
func (n *network) live(v *vm) {
	v.running = slices.DeleteFunc(v.running, func(end time.Duration) bool { return end <= n.now })
	if v.paused {
		return
	}
	n.start(v)
	for _, p := range v.inbox {
		n.carry(v, v.state.Step(n.clock(v), p.event))
	}
	v.inbox = nil
	if n.now >= v.nextTick {
		v.nextTick = n.now + timing.Tick()
		n.carry(v, v.state.Step(n.clock(v), share.Tick{Usage: func(share.Kind) share.Usage {
			u := share.Usage{Rate: v.demand, Concurrency: max(v.peak, v.wants), Running: len(v.running), Ready: true}
			v.peak = len(v.running)
			return u
		}}))
	}
	v.usable += min(v.demand, v.share.At(n.clock(v)).Rate) * step.Seconds()
}

func (n *network) start(v *vm) {
	for len(v.running) < min(v.wants, v.share.At(n.clock(v)).Concurrency) {
		v.running = append(v.running, n.now+time.Duration(float64(v.length)/v.rate))
	}
	v.peak = max(v.peak, len(v.running))
}

// sum is everything in use at this instant: a VM uses its share, and requests
// that started under a larger share still run.
func (n *network) sum() share.Amount {
	var sum share.Amount
	for _, v := range n.vms {
		a := v.share.At(n.clock(v))
		sum.Rate += a.Rate
		sum.Burst += a.Burst
		sum.Concurrency += max(a.Concurrency, len(v.running))
	}
	return sum
}

func (n *network) check() {
	n.t.Helper()
	sum := n.sum()
	n.most.Rate = max(n.most.Rate, sum.Rate)
	n.most.Burst = max(n.most.Burst, sum.Burst)
	n.most.Concurrency = max(n.most.Concurrency, sum.Concurrency)
	limit := n.limit()
	if sum.Rate > limit.Rate*(1+1e-9) || sum.Burst > limit.Burst || sum.Concurrency > limit.Concurrency {
		n.t.Fatalf("at %v the shares add up to %+v, above %+v\n%s", n.now, sum, limit, n.describe())
	}
}

// raise notes a limit that comes into force at some VM.
func (n *network) raise(a share.Amount) {
	n.highest.Rate = max(n.highest.Rate, a.Rate)
	n.highest.Burst = max(n.highest.Burst, a.Burst)
	n.highest.Concurrency = max(n.highest.Concurrency, a.Concurrency)
}

// limit is the highest limit that any VM held so far.
func (n *network) limit() share.Amount {
	most := n.highest
	for _, v := range n.vms {
		most.Rate = max(most.Rate, v.view.Rate)
		most.Burst = max(most.Burst, v.view.Burst)
		most.Concurrency = max(most.Concurrency, v.view.Concurrency)
	}
	return most
}

func (n *network) describe() string {
	out := ""
	for _, v := range n.vms {
		out += fmt.Sprintf("%s: base %+v, now %+v, running %d, paused %v\n", v.name, v.share.Base, v.share.At(n.clock(v)), len(v.running), v.paused)
	}
	return out
}

// isolate cuts or restores both ways between a and b.
func (n *network) isolate(a, b string, cut bool) {
	n.cut[[2]string{a, b}] = cut
	n.cut[[2]string{b, a}] = cut
}
