package upstream_test

import (
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/standin"
	"sycamorekeel.example/sycamorekeel/internal/upstream"
)

// testTimeout is a deadline that is reached only if something hangs.
const testTimeout = 20 * time.Second

func start(t testing.TB, b standin.Behaviour) *standin.Upstream {
	u, err := standin.StartUpstream("search/u1", 1, b)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	return u
}

func client(t testing.TB, address string, connections int) *upstream.Client {
	c := upstream.NewClient(upstream.Options{
		Address:     address,
		Connections: connections,
		MaxReply:    1000,
		Metrics:     upstream.NewMetrics(prometheus.NewRegistry()),
	})
	t.Cleanup(c.Close)
	return c
}

func call(id string, timeout time.Duration) *upstream.Call {
	return &upstream.Call{
		RequestID: id,
		Path:      "/search",
		Shard:     3,
		Snapshot:  &pb.Snapshot{Generation: 1, Version: 2},
		Body:      []byte(id),
		Deadline:  time.Now().Add(timeout),
	}
}

// refusingAddress returns an address where nothing listens.
func refusingAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	return ln.Addr().String()
}

func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		behaviour standin.Behaviour
		want      pb.Result
		draining  bool
		ran       int
		ended     bool
	}{
		"answer":                         {standin.Behaviour{Hits: 1}, pb.Result_OK, false, 1, false},
		"answer that announces draining": {standin.Behaviour{AnnounceDrain: true}, pb.Result_OK, true, 1, false},
		"draining":                       {standin.Behaviour{Draining: true}, pb.Result_UPSTREAM_LEAVING, true, 0, false},
		"snapshot missing":               {standin.Behaviour{Snapshots: []string{"1/1"}}, pb.Result_NO_SNAPSHOT, false, 0, false},
		"reply too large":                {standin.Behaviour{Padding: 2000}, pb.Result_UPSTREAM_ERROR, false, 1, false},
		"connection closed after read":   {standin.Behaviour{CloseAfterRead: true}, pb.Result_UNKNOWN, false, 1, false},
		"process ended":                  {standin.Behaviour{CrashOn: "r"}, pb.Result_UNKNOWN, false, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			u := start(t, c.behaviour)
			out := client(t, u.Address(), 4).Do(time.Now(), call("r1", testTimeout))
			g.Expect(out.Result).To(Equal(c.want), out.Detail)
			g.Expect(out.Draining).To(Equal(c.draining))
			g.Expect(out.ProcessEnded).To(Equal(c.ended))
			g.Expect(u.RunsOf("r1")).To(Equal(c.ran))
		})
	}
}

func TestRefusedConnectionIsUnreachable(t *testing.T) {
	g := NewWithT(t)
	out := client(t, refusingAddress(t), 4).Do(time.Now(), call("r1", testTimeout))
	g.Expect(out.Result).To(Equal(pb.Result_UNREACHABLE))
}

// Guards against a request that runs twice after one dispatch. The upstream runs the
// request and closes the connection without a reply, on a new and on a reused
// connection; the HTTP library would send it again.
func TestLibraryDoesNotRetry(t *testing.T) {
	g := NewWithT(t)
	u := start(t, standin.Behaviour{})
	c := client(t, u.Address(), 4)
	g.Expect(c.Do(time.Now(), call("warm", testTimeout)).Result).To(Equal(pb.Result_OK))
	u.Change(func(b *standin.Behaviour) { b.CloseAfterRead = true })
	for i := range 3 {
		id := "r" + strconv.Itoa(i)
		g.Expect(c.Do(time.Now(), call(id, testTimeout)).Result).To(Equal(pb.Result_UNKNOWN))
		g.Expect(u.RunsOf(id)).To(Equal(1))
	}
}

// Guards against probes and cancellations that open connections outside of the pool
// when all pooled connections are in use. This VM would exceed its share of the
// connections, and the upstream would refuse those of other VMs.
func TestConnectionLimit(t *testing.T) {
	for name, limit := range map[string]int{"one": 1, "two": 2, "four": 4} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			u := start(t, standin.Behaviour{Median: 5 * time.Millisecond})
			c := client(t, u.Address(), limit)
			var wg sync.WaitGroup
			for i := range 16 {
				wg.Go(func() { c.Do(time.Now(), call("r"+strconv.Itoa(i), testTimeout)) })
				wg.Go(func() { _, _ = c.Probe(i%2 == 0) })
				wg.Go(func() { _ = c.Cancel("r" + strconv.Itoa(i)) })
			}
			wg.Wait()
			g.Expect(u.Peak()).To(BeNumerically("<=", limit))
		})
	}
}

func TestCancelEndsARunningRequest(t *testing.T) {
	g := NewWithT(t)
	u := start(t, standin.Behaviour{Hang: true})
	c := client(t, u.Address(), 2)
	out := make(chan upstream.Outcome, 1)
	go func() { out <- c.Do(time.Now(), call("r1", testTimeout)) }()
	g.Eventually(u.Running, testTimeout).Should(Equal(int64(1)))
	g.Eventually(func() int64 { _ = c.Cancel("r1"); return u.Cancelled() }, testTimeout).Should(Equal(int64(1)))
	got := <-out
	g.Expect(got.Cancelled).To(BeTrue())
	g.Expect(got.Result).To(Equal(pb.Result_UPSTREAM_ERROR))
}

func TestProbe(t *testing.T) {
	for name, c := range map[string]struct {
		behaviour standin.Behaviour
		want      pb.UpstreamState
		fails     bool
	}{
		"ready":    {standin.Behaviour{Snapshots: []string{"1/2", "nonsense"}}, pb.UpstreamState_READY, false},
		"cold":     {standin.Behaviour{Cold: 5, Snapshots: []string{"1/2"}}, pb.UpstreamState_COLD, false},
		"draining": {standin.Behaviour{Draining: true, Snapshots: []string{"1/2"}}, pb.UpstreamState_DRAINING, false},
		"failing":  {standin.Behaviour{HealthDown: true}, pb.UpstreamState_DOWN, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h, err := client(t, start(t, c.behaviour).Address(), 4).Probe(true)
			if c.fails {
				g.Expect(err).To(HaveOccurred())
				return
			}
			state, snapshots := h.Report()
			g.Expect(state).To(Equal(c.want))
			g.Expect(snapshots).To(HaveLen(1))
		})
	}
}
