package query

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// recordingSender records the sub-requests that an engine sends and cancels.
type recordingSender struct {
	mu      sync.Mutex
	sent    chan *pb.SubRequest
	cancels []uint64
}

func (w *recordingSender) Send(_ *Action, f *pb.Frame) string {
	w.sent <- f.GetRequest()
	return "vm-1"
}

func (w *recordingSender) Cancel(_, _ string, id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels = append(w.cancels, id)
}

// fakeClock is a clock that tests advance.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// counterValue returns the value of a counter for one label value, 0 if there is none.
func counterValue(t *testing.T, reg *prometheus.Registry, name, value string) float64 {
	t.Helper()
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.GetMetric() {
			if m.GetLabel()[0].GetValue() == value {
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}

func okReply(r *pb.SubRequest) *pb.SubReply {
	return &pb.SubReply{Id: r.Id, Result: pb.Result_OK, Snapshot: r.Snapshot, Body: []byte(`{"hits":[{"id":"x"}]}`)}
}

// Guards against queries that end empty after a pause of the process: replies are in
// the inbox and the deadline has passed when the worker runs again. Firing the timers
// between two replies would end the query.
func TestInboxIsHandledBeforeDeadline(t *testing.T) {
	defer goleak.VerifyNone(t)
	w := &recordingSender{sent: make(chan *pb.SubRequest, 10)}
	c := &fakeClock{now: time.Unix(1000, 0)}
	e := NewEngine(EngineOptions{Policy: permissivePolicy{}, Sender: w, Loops: 1, Now: c.Now, Metrics: NewMetrics(prometheus.NewRegistry())})
	l := e.loops[0]
	h := newHarness(t, newShardMap(1, 3, 1), func(k *pb.Kind) { k.HedgePercent = 0 })
	run := newRunningQuery(New(h.plan, permissivePolicy{}), h.plan)
	l.post(event{start: run})
	l.drain(nil)
	c.advance(time.Hour)
	for range 3 {
		e.Deliver(okReply(<-w.sent))
	}
	l.drain(nil)
	l.wakeDue()
	l.post(event{run: run, decoded: run.decode()})
	l.drain(nil)
	if out := <-run.finished; out.Covered != 30 {
		t.Errorf("covered %d of 30 with every answer in the inbox", out.Covered)
	}
}

// Guards against replies that reach the wrong query and stray replies that are not
// counted: replies arrive twice, after their attempt was cancelled, and with ids that
// were never issued.
func TestStrayReplies(t *testing.T) {
	defer goleak.VerifyNone(t)
	w := &recordingSender{sent: make(chan *pb.SubRequest, 10)}
	c := &fakeClock{now: time.Unix(1000, 0)}
	reg := prometheus.NewRegistry()
	e := NewEngine(EngineOptions{Policy: permissivePolicy{}, Sender: w, Loops: 1, Now: c.Now, Metrics: NewMetrics(reg)})
	ctx, cancel := context.WithCancel(context.Background())
	e.Start(ctx)
	h := newHarness(t, newShardMap(1, 1, 2), nil)
	done := make(chan *Outcome)
	go func() {
		out, _ := e.Run(ctx, h.plan)
		done <- out
	}()
	first := <-w.sent
	// The fleet's hedge delay is one millisecond.
	c.advance(10 * ms)
	e.Deliver(&pb.SubReply{Id: 1 << 40})
	hedge := <-w.sent
	e.Deliver(okReply(hedge))
	out := <-done
	e.Deliver(okReply(hedge))
	e.Deliver(okReply(first))
	e.Deliver(okReply(first))
	e.Deliver(&pb.SubReply{Id: maxLoops - 1})
	cancel()
	e.Wait()
	e.loops[0].drain(nil)
	if out.Covered != 10 || len(w.cancels) != 1 || w.cancels[0] != first.Id {
		t.Errorf("covered %d, cancelled %v", out.Covered, w.cancels)
	}
	for kind, want := range map[strayKind]float64{strayLate: 1, strayDuplicate: 2, strayForeign: 2} {
		if got := counterValue(t, reg, "sycamorekeel_query_stray_replies_total", string(kind)); got != want {
			t.Errorf("%v %s replies, want %v", got, kind, want)
		}
	}
	if got := counterValue(t, reg, "sycamorekeel_query_requests_total", "hedge"); got != 1 {
		t.Errorf("%v hedges counted", got)
	}
}

// Guards against abandoned queries that keep occupying upstreams: the caller goes away
// while its sub-requests are open, and all of them must be cancelled.
func TestAbandonedQueryIsCancelled(t *testing.T) {
	defer goleak.VerifyNone(t)
	w := &recordingSender{sent: make(chan *pb.SubRequest, 10)}
	e := NewEngine(EngineOptions{Policy: permissivePolicy{}, Sender: w, Loops: 1, Now: time.Now, Metrics: NewMetrics(prometheus.NewRegistry())})
	ctx, cancel := context.WithCancel(context.Background())
	e.Start(ctx)
	h := newHarness(t, newShardMap(1, 3, 1), nil)
	h.plan.Deadline = time.Now().Add(time.Hour)
	caller, leave := context.WithCancel(ctx)
	ended := make(chan error)
	go func() {
		_, err := e.Run(caller, h.plan)
		ended <- err
	}()
	for range 3 {
		<-w.sent
	}
	leave()
	if err := <-ended; err == nil {
		t.Error("Run returned no error for an abandoned query")
	}
	cancel()
	e.Wait()
	e.loops[0].drain(nil)
	if len(w.cancels) != 3 {
		t.Errorf("cancelled %v, want all three", w.cancels)
	}
}
