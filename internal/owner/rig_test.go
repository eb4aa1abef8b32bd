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
	patience   = 20 * time.Second
	upstreamID = "search/u1"
)

// rig is one owner before one upstream.
type rig struct {
	t      testing.TB
	owner  *Owner
	server *standin.Upstream
	role   atomic.Int32
	// start and ahead make the clock, which stands still unless config.moving.
	start  time.Time
	ahead  atomic.Int64
	config rigConfig

	mu       sync.Mutex
	statuses []string
	// next numbers the sub-requests of loops.
	next uint64
}

type rigConfig struct {
	vm          string
	slots       int
	connections int
	behaviour   standin.Behaviour
	// server is shared with another rig when set.
	server  *standin.Upstream
	address string
	moving  bool
	limit   dispatch.LimitPolicy
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
	r.role.Store(int32(Main))
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
		Pause:         DefaultPause(),
	})
	r.apply(false)
	t.Cleanup(r.stop)
	return r
}

// stop ends the owner; after a failed check something may still wait or run.
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
	}, patience).Should(BeTrue())
}

func expectNoLeak(t testing.TB, leaks goleak.Option) {
	NewWithT(t).Eventually(func() error { return goleak.Find(append(libraries, leaks)...) }, patience).Should(Succeed())
}

// libraries are goroutines that outlive their owner: they end by themselves
// after a sleep or live as long as the process.
var libraries = []goleak.Option{
	goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
	goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
}

func (r *rig) now() time.Time {
	if r.config.moving {
		return time.Now()
	}
	return r.start.Add(time.Duration(r.ahead.Load()))
}

func (r *rig) apply(leaving bool) {
	r.owner.Apply(contract.Compile(1, []contract.Accepted{{Name: "d", Revision: 1, Document: &pb.Document{
		Services: []*pb.Service{{Name: "search", Path: "/search", Upstreams: []*pb.Upstream{{
			Id: "u1", Address: r.config.address, Slots: uint32(r.config.slots), Connections: uint32(r.config.connections), Leaving: leaving,
		}}}},
	}}}))
}

func (r *rig) become(role Role) {
	r.role.Store(int32(role))
	r.apply(false)
}

// tick looks at every station and hands the due probes to nobody.
func (r *rig) tick() int {
	due := make(chan *station, 1)
	r.owner.Tick(due)
	return len(due)
}

// jump moves the clock.
func (r *rig) jump(d time.Duration) { r.ahead.Add(int64(d)) }

func (r *rig) key(id uint64) dispatch.Key {
	return dispatch.Key{VM: "vm-1" + r.config.vm, Incarnation: 1, ID: id}
}

// send submits sub-request id, whose body is the id; its reply comes on the
// channel.
func (r *rig) send(id uint64) <-chan *pb.SubReply {
	return r.sendFor(id, patience)
}

func (r *rig) sendFor(id uint64, remaining time.Duration) <-chan *pb.SubReply {
	// A second reply to one id would be kept and found.
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

// runs is how often the upstream ran sub-request id.
func (r *rig) runs(id uint64) int { return r.server.RunsOf(body(id)) }

func body(id uint64) string { return `{"n":` + strconv.FormatUint(id, 10) + `}` }

// ramp raises the limit to the published slots.
func (r *rig) ramp() {
	NewWithT(r.t).Eventually(func() int {
		r.burst()
		return r.station().limiter.Limit()
	}, patience).Should(Equal(r.config.slots))
}

// burst sends one sub-request for each slot and waits for all.
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

func (r *rig) station() *station {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	return r.owner.stations[upstreamID]
}

// hold fills the first slot with a request that ends when let is called.
func (r *rig) hold(id uint64) (reply <-chan *pb.SubReply, let func()) {
	r.server.Change(func(b *standin.Behaviour) { b.Hang = true })
	reply = r.send(id)
	NewWithT(r.t).Eventually(func() int { return r.runs(id) }, patience).Should(Equal(1))
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

// seen is the states told, repeats left out.
func (r *rig) seen() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Compact(slices.Clone(r.statuses))
}
