package owner

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/dispatch"
	"sycamorekeel.example/sycamorekeel/internal/health"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

const (
	waitTimeout = 20 * time.Second
	upstreamID  = "search/u1"
)

// rig is one owner with one upstream.
type rig struct {
	t      testing.TB
	owner  *Owner
	server *standin.Upstream
	role   atomic.Int32
	// start plus elapsed is the clock, which only advance moves, unless
	// config.realClock is set.
	start   time.Time
	elapsed atomic.Int64
	config  rigConfig

	mu       sync.Mutex
	statuses []string
	// next is the id counter of burst.
	next uint64
}

type rigConfig struct {
	vm          string
	slots       int
	connections int
	behaviour   standin.Behaviour
	// server is shared with another rig when set.
	server    *standin.Upstream
	address   string
	realClock bool
	limit     dispatch.LimitPolicy
}

// newRig starts an owner that owns the upstream.
func newRig(t testing.TB, c rigConfig) *rig {
	leaks := goleak.IgnoreCurrent()
	r := &rig{t: t, config: c, server: c.server, start: time.Now()}
	if r.server == nil {
		u, err := standin.StartUpstream(upstreamID, 1, c.behaviour)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { expectNoLeak(t, leaks) })
		t.Cleanup(u.Close)
		r.server = u
	}
	if r.config.address == "" {
		r.config.address = r.server.Address()
	}
	r.role.Store(int32(RoleOwner))
	r.owner = New(Options{
		Log:           zap.NewNop(),
		Registry:      prometheus.NewRegistry(),
		Grant:         func(u *contract.Upstream) Grant { return GrantFor(Role(r.role.Load()), u) },
		Status:        r,
		MaxQueue:      64,
		MaxReplyBytes: 1 << 20,
		Now:           r.now,
		Limit:         c.limit,
		Health:        health.DefaultOptions(),
		Ledger:        dispatch.DefaultLedger(),
		Pause:         DefaultPauseOptions(),
	})
	r.apply(false)
	t.Cleanup(r.stop)
	return r
}

// stop ends the owner. It releases requests that a failed check left queued or
// running.
func (r *rig) stop() {
	stopped := make(chan struct{})
	go func() {
		r.owner.Stop()
		close(stopped)
	}()
	NewWithT(r.t).Eventually(func() bool {
		r.server.ReleaseAll()
		r.tick()
		select {
		case <-stopped:
			return true
		default:
			return false
		}
	}, waitTimeout).Should(BeTrue())
}

func expectNoLeak(t testing.TB, leaks goleak.Option) {
	NewWithT(t).Eventually(func() error { return goleak.Find(append(ignoredGoroutines, leaks)...) }, waitTimeout).Should(Succeed())
}

// ignoredGoroutines outlive their owner: they end by themselves after a sleep or
// live as long as the process.
var ignoredGoroutines = []goleak.Option{
	goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
	goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
}

func (r *rig) now() time.Time {
	if r.config.realClock {
		return time.Now()
	}
	return r.start.Add(time.Duration(r.elapsed.Load()))
}

func (r *rig) apply(leaving bool) {
	r.owner.Apply(contract.Compile(1, []contract.Accepted{{Name: "d", Revision: 1, Document: &pb.Document{
		Services: []*pb.Service{{Name: "search", Path: "/search", Upstreams: []*pb.Upstream{{
			Id: "u1", Address: r.config.address, Slots: uint32(r.config.slots), Connections: uint32(r.config.connections), Leaving: leaving,
		}}}},
	}}}))
}

func (r *rig) setRole(role Role) {
	r.role.Store(int32(role))
	r.apply(false)
}

// tick ticks every executor once and returns the number of due probes, at most 1.
// It runs none of them.
func (r *rig) tick() int {
	due := make(chan *executor, 1)
	r.owner.Tick(due)
	return len(due)
}

// advance moves the clock forward.
func (r *rig) advance(d time.Duration) { r.elapsed.Add(int64(d)) }

func (r *rig) key(id uint64) dispatch.Key {
	return dispatch.Key{VM: "vm-1" + r.config.vm, Incarnation: 1, ID: id}
}

// send submits sub-request id, whose body contains the id, and returns the channel
// of its reply.
func (r *rig) send(id uint64) <-chan *pb.SubReply {
	return r.sendFor(id, waitTimeout)
}

func (r *rig) sendFor(id uint64, remaining time.Duration) <-chan *pb.SubReply {
	// Room for a second reply, so that a duplicate is detected.
	out := make(chan *pb.SubReply, 2)
	r.owner.Submit(r.key(id), &pb.SubRequest{
		Id:          id,
		Upstream:    upstreamID,
		Customer:    "c",
		Snapshot:    &pb.Snapshot{Generation: 1, Version: 1},
		RemainingUs: uint32(remaining.Microseconds()),
		Body:        []byte(body(id)),
	}, func(rep *pb.SubReply) { out <- rep })
	return out
}

func (r *rig) cancel(id uint64) { r.owner.Cancel(r.key(id), upstreamID) }

// runCount returns how often the upstream ran sub-request id.
func (r *rig) runCount(id uint64) int { return r.server.RunsOf(body(id)) }

func body(id uint64) string { return `{"n":` + strconv.FormatUint(id, 10) + `}` }

// ramp sends bursts until the limit reaches the published slots.
func (r *rig) ramp() {
	NewWithT(r.t).Eventually(func() int {
		r.burst()
		return r.executor().limiter.Limit()
	}, waitTimeout).Should(Equal(r.config.slots))
}

// burst sends one sub-request for each slot and waits for all replies.
func (r *rig) burst() {
	var all []<-chan *pb.SubReply
	for range r.config.slots {
		r.next++
		all = append(all, r.send(1_000_000+r.next))
	}
	for _, c := range all {
		<-c
	}
}

func (r *rig) executor() *executor {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	return r.owner.executors[upstreamID]
}

// hold starts a request that occupies a slot until release is called.
func (r *rig) hold(id uint64) (reply <-chan *pb.SubReply, release func()) {
	r.server.Change(func(b *standin.Behaviour) { b.Hang = true })
	reply = r.send(id)
	NewWithT(r.t).Eventually(func() int { return r.runCount(id) }, waitTimeout).Should(Equal(1))
	r.server.Change(func(b *standin.Behaviour) { b.Hang = false })
	return reply, func() { r.server.Release(body(id)) }
}

// UpstreamChanged implements StatusSink.
func (r *rig) UpstreamChanged(st *pb.UpstreamStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses = append(r.statuses, st.State.String())
}

// UpstreamLost implements StatusSink.
func (r *rig) UpstreamLost(string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses = append(r.statuses, "lost")
}

// reportedStates returns the reported states without consecutive duplicates.
func (r *rig) reportedStates() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Compact(slices.Clone(r.statuses))
}
