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

// clockDrift is the relative deviation of the simulated clocks from real time.
const clockDrift = 0.01

// step is the real time between two simulation steps.
const step = 10 * time.Millisecond

var (
	search = share.Kind{Customer: "ferry-agents", Name: "quick-suggest"}
	timing = share.Timing{Lease: share.DefaultLease}
	epoch  = time.Unix(1_000_000, 0)
)

// network simulates VMs with independent clocks and checks the sum of their
// shares.
type network struct {
	t        fataler
	random   *rand.Rand
	now      time.Duration
	vms      []*vm
	inFlight []packet
	// maxDelay bounds the delay of a message; lossRate and duplicateRate are
	// probabilities.
	maxDelay                time.Duration
	lossRate, duplicateRate float64
	blocked                 map[[2]string]bool
	messages                int
	bytes                   int
	// highestLimit is the highest limit that was in force on any VM.
	highestLimit share.Amount
	// maxSum is the highest sum of shares observed.
	maxSum share.Amount
}

type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// packet is a message in flight.
type packet struct {
	at       time.Duration
	from, to string
	event    share.Event
}

// vm is one simulated VM. Its clock runs at clockRate times real time.
type vm struct {
	name        string
	clockRate   float64
	offset      time.Duration
	incarnation uint64
	state       *share.State
	view        share.Limit
	share       share.Share
	paused      bool
	inbox       []packet
	nextTick    time.Duration
	// demand is in requests per second and concurrencyDemand in concurrent
	// requests; each request runs for requestDuration.
	demand            float64
	concurrencyDemand int
	requestDuration   time.Duration
	// running holds the end times of the running requests, in real time.
	running []time.Duration
	peak    int
	// usableRequests is the integral of the usable rate over time.
	usableRequests float64
}

func newNetwork(t fataler, seed uint64, limit share.Limit) *network {
	n := &network{t: t, random: rand.New(rand.NewPCG(seed, 7)), maxDelay: 30 * time.Millisecond, blocked: map[[2]string]bool{}}
	for i, name := range limit.Members {
		v := &vm{name: name, clockRate: 1 + clockDrift*float64(i%3-1), offset: time.Duration(i) * time.Hour, view: limit, requestDuration: limit.MaxDuration}
		v.nextTick = time.Duration(n.random.Int64N(int64(timing.TickInterval())))
		n.vms = append(n.vms, v)
		n.restart(v)
	}
	return n
}

func limitOf(rate float64, concurrency int, members ...string) share.Limit {
	return share.Limit{
		Kind:        search,
		Amount:      share.Amount{Rate: rate, Burst: concurrency, Concurrency: concurrency},
		Members:     members,
		MaxDuration: 600 * time.Millisecond,
	}
}

func (n *network) clock(v *vm) time.Time {
	return epoch.Add(v.offset + time.Duration(float64(n.now)*v.clockRate))
}

// restart replaces the process: its requests end and its state is lost.
func (n *network) restart(v *vm) {
	v.incarnation++
	v.state = share.New(share.Options{VM: v.name, Incarnation: v.incarnation, Started: n.clock(v), Timing: timing})
	v.share, v.running, v.inbox, v.paused = share.Share{}, nil, nil, false
	n.configure(v, v.view)
}

func (n *network) configure(v *vm, l share.Limit) {
	n.recordLimit(v.view.Amount)
	v.view = l
	n.perform(v, v.state.Step(n.clock(v), share.Configured{Limits: []share.Limit{l}}))
}

func (n *network) vm(name string) *vm {
	return n.vms[slices.IndexFunc(n.vms, func(v *vm) bool { return v.name == name })]
}

// perform carries out actions.
func (n *network) perform(v *vm, actions []share.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case share.ApplyShare:
			v.share = a.Share
		case share.SendAck:
			n.send(v.name, a.To, share.AckReceived{From: v.name, Message: a.Message}, a.Message)
		case share.SendLoan:
			n.send(v.name, a.To, share.LoanReceived{From: v.name, Message: a.Message}, a.Message)
		}
	}
}

func (n *network) send(from, to string, e share.Event, m proto.Message) {
	n.messages++
	n.bytes += proto.Size(m)
	copies := 1
	if n.random.Float64() < n.duplicateRate {
		copies = 2
	}
	for range copies {
		if n.blocked[[2]string{from, to}] || n.random.Float64() < n.lossRate {
			continue
		}
		delay := time.Duration(n.random.Int64N(int64(n.maxDelay)))
		n.inFlight = append(n.inFlight, packet{at: n.now + delay, from: from, to: to, event: e})
	}
}

// run advances real time and checks the sums after every step.
func (n *network) run(d time.Duration) {
	n.t.Helper()
	for end := n.now + d; n.now < end; {
		n.now += step
		n.deliver()
		for _, v := range n.vms {
			n.stepVM(v)
		}
		n.check()
	}
}

func (n *network) deliver() {
	n.inFlight = slices.DeleteFunc(n.inFlight, func(p packet) bool {
		if p.at > n.now {
			return false
		}
		if i := slices.IndexFunc(n.vms, func(v *vm) bool { return v.name == p.to }); i >= 0 {
			n.vms[i].inbox = append(n.vms[i].inbox, p)
		}
		return true
	})
}

// stepVM runs one step of one VM. Requests start before the inbox and the tick
// are processed, as they may when a paused process resumes.
func (n *network) stepVM(v *vm) {
	v.running = slices.DeleteFunc(v.running, func(end time.Duration) bool { return end <= n.now })
	if v.paused {
		return
	}
	n.startRequests(v)
	for _, p := range v.inbox {
		n.perform(v, v.state.Step(n.clock(v), p.event))
	}
	v.inbox = nil
	if n.now >= v.nextTick {
		v.nextTick = n.now + timing.TickInterval()
		n.perform(v, v.state.Step(n.clock(v), share.Tick{Usage: func(share.Kind) share.Usage {
			u := share.Usage{Rate: v.demand, Concurrency: max(v.peak, v.concurrencyDemand), Running: len(v.running), TokenAvailable: true}
			v.peak = len(v.running)
			return u
		}}))
	}
	v.usableRequests += min(v.demand, v.share.At(n.clock(v)).Rate) * step.Seconds()
}

func (n *network) startRequests(v *vm) {
	for len(v.running) < min(v.concurrencyDemand, v.share.At(n.clock(v)).Concurrency) {
		v.running = append(v.running, n.now+time.Duration(float64(v.requestDuration)/v.clockRate))
	}
	v.peak = max(v.peak, len(v.running))
}

// sum is the capacity in use at this instant: each VM uses its share, and
// requests that started under a larger share still run.
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
	n.maxSum.Rate = max(n.maxSum.Rate, sum.Rate)
	n.maxSum.Burst = max(n.maxSum.Burst, sum.Burst)
	n.maxSum.Concurrency = max(n.maxSum.Concurrency, sum.Concurrency)
	limit := n.limit()
	if sum.Rate > limit.Rate*(1+1e-9) || sum.Burst > limit.Burst || sum.Concurrency > limit.Concurrency {
		n.t.Fatalf("at %v the shares add up to %+v, above %+v\n%s", n.now, sum, limit, n.describe())
	}
}

// recordLimit records a limit that is or was in force on some VM.
func (n *network) recordLimit(a share.Amount) {
	n.highestLimit.Rate = max(n.highestLimit.Rate, a.Rate)
	n.highestLimit.Burst = max(n.highestLimit.Burst, a.Burst)
	n.highestLimit.Concurrency = max(n.highestLimit.Concurrency, a.Concurrency)
}

// limit is the highest limit that any VM has held so far.
func (n *network) limit() share.Amount {
	most := n.highestLimit
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

// isolate blocks or restores both directions between a and b.
func (n *network) isolate(a, b string, cut bool) {
	n.blocked[[2]string{a, b}] = cut
	n.blocked[[2]string{b, a}] = cut
}
