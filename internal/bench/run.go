package bench

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/fleet"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

const (
	// inFlight bounds the requests open at a time: beyond it a request is
	// counted as not sent, so that a stuck fleet cannot fill the machine.
	inFlight = 4000
	// clientsEach is the callers of one customer.
	clientsEach = 3
	highestUS   = 60_000_000
)

// load is one stream of requests with exponential gaps.
type load struct {
	customer string
	kind     string
	perSec   float64
	// from and to bound it within the run; a zero to means the end.
	from, to time.Duration
	// skewed sends everything through one caller.
	skewed bool
}

// event is one fault or its end, at a time of the run.
type event struct {
	at time.Duration
	do func(*run) error
}

// scenario is one deployment under load and faults.
type scenario struct {
	name     string
	about    string
	on       deployment
	loads    []load
	events   []event
	duration time.Duration
	// check looks at what only this scenario can break.
	check func(*run)
}

// record is one request and its end.
type record struct {
	load    *load
	key     string
	kind    string
	result  result
	latency time.Duration
	// again is how a resend under the same operation ended.
	again *result
}

// run is a scenario under way.
type run struct {
	scenario *scenario
	routing  pb.Routing
	fleet    *fleet.Fleet
	states   map[string]state
	clients  map[string][]*client
	started  time.Time
	stopped  sync.WaitGroup

	mu      sync.Mutex
	records []record
	unsent  int
	broken  []string
	notes   []string
	reads   int64
}

// execute runs a scenario once under one policy.
func execute(s *scenario, routing pb.Routing, seed uint64) (*Result, error) {
	f, err := fleet.Start(fleet.Options{
		Log:         zap.NewNop(),
		Documents:   s.on.documents(),
		VMs:         s.on.vms,
		DataCentres: dataCentres,
		Routing:     routing,
		Behaviour:   s.on.behaviour,
		Seed:        seed,
	})
	if err != nil {
		return nil, trace.Wrap(err, "%s", s.name)
	}
	r := &run{scenario: s, routing: routing, fleet: f, clients: map[string][]*client{}}
	r.states = map[string]state{scanService: s.on.initial(), payService: s.on.initial()}
	defer r.close()
	r.connect()
	err = r.play(seed)
	if err != nil {
		return nil, trace.Wrap(err, "%s", s.name)
	}
	r.check()
	return r.result(), nil
}

// close does not wait for planned stops: those have a scenario of their own.
func (r *run) close() {
	for _, vm := range r.fleet.VMs {
		vm.Kill()
	}
	r.fleet.Close()
}

func (r *run) connect() {
	var contacts []string
	for _, vm := range r.fleet.VMs {
		contacts = append(contacts, vm.Settings.CallerAddress)
	}
	for _, c := range r.scenario.on.customers {
		for i := range clientsEach {
			r.clients[c.name] = append(r.clients[c.name], newClient(c.name, i, contacts))
		}
	}
}

// play sends the load and makes the faults, then waits for every request.
func (r *run) play(seed uint64) error {
	cpu := processTime()
	reads := r.fleet.Platform.Reads()
	r.started = time.Now()
	watch := make(chan struct{})
	r.stopped.Add(1)
	go r.watchRevisions(watch)
	var requests sync.WaitGroup
	slots := make(chan struct{}, inFlight)
	for i := range r.scenario.loads {
		requests.Add(1)
		go func() {
			defer requests.Done()
			r.stream(&r.scenario.loads[i], rand.New(rand.NewPCG(seed, uint64(i))), slots, &requests)
		}()
	}
	err := r.makeFaults()
	requests.Wait()
	took := time.Since(r.started)
	close(watch)
	r.stopped.Wait()
	r.reads = r.fleet.Platform.Reads() - reads
	r.notef("%.1f platform reads/s", float64(r.reads)/took.Seconds())
	if n := r.subRequests(); n > 0 {
		r.notef("%.0f us of processor time per sub-request (callers and stand-ins included)", float64((processTime()-cpu).Microseconds())/float64(n))
	}
	return err
}

func (r *run) makeFaults() error {
	for _, e := range r.scenario.events {
		r.sleepUntil(e.at)
		if err := e.do(r); err != nil {
			return trace.Wrap(err, "at %v", e.at)
		}
	}
	return nil
}

func (r *run) sleepUntil(at time.Duration) {
	time.Sleep(time.Until(r.started.Add(at)))
}

// stream is open-loop: requests start when they are due, whatever became of
// those before, and their latency counts from then.
func (r *run) stream(l *load, rng *rand.Rand, slots chan struct{}, requests *sync.WaitGroup) {
	end := r.scenario.duration
	if l.to > 0 {
		end = l.to
	}
	at := l.from
	for n := 0; ; n++ {
		at += time.Duration(rng.ExpFloat64() / l.perSec * float64(time.Second))
		if at >= end {
			return
		}
		r.sleepUntil(at)
		select {
		case slots <- struct{}{}:
		default:
			r.mu.Lock()
			r.unsent++
			r.mu.Unlock()
			continue
		}
		key := fmt.Sprintf("%s-%s-%v-%d", l.customer, l.kind, l.from, n)
		c := r.clients[l.customer][n%clientsEach]
		if l.skewed {
			c = r.clients[l.customer][0]
		}
		due := r.started.Add(at)
		requests.Add(1)
		go func() {
			defer requests.Done()
			r.one(l, c, key, due)
			<-slots
		}()
	}
}

func (r *run) one(l *load, c *client, key string, due time.Time) {
	rec := record{load: l, key: key, kind: l.kind}
	operation := ""
	if l.kind == payKind {
		operation = c.operation()
	}
	rec.result = c.call(l.kind, key, operation)
	rec.latency = time.Since(due)
	if operation != "" && rec.result.ran == refusal.Unknown {
		again := c.call(l.kind, key, operation)
		rec.again = &again
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, rec)
}

func (r *run) brokenf(format string, args ...any) {
	const most = 20
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.broken) < most {
		r.broken = append(r.broken, fmt.Sprintf(format, args...))
	}
}

func (r *run) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, fmt.Sprintf(format, args...))
}

// publish puts a service's state in force.
func (r *run) publish(service string) uint64 {
	return r.fleet.Publish(service, r.scenario.on.service(service, r.states[service], func(id string) string {
		return r.fleet.Upstreams[id].Address()
	}))
}

// change edits every upstream of a service that match lets in.
func (r *run) change(service string, match func(shard, replica int) bool, edit func(*standin.Behaviour)) {
	for s := range r.scenario.on.shards {
		for p := range r.scenario.on.replicas {
			if match(s, p) {
				r.fleet.EditUpstream(upstreamID(service, s, p), edit)
			}
		}
	}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestUS, 3) }
