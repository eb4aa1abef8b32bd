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

// wires records what an engine sends and withdraws.
type wires struct {
	mu      sync.Mutex
	sent    chan *pb.SubRequest
	cancels []uint64
}

func (w *wires) Send(_ *Action, f *pb.Frame) string {
	w.sent <- f.GetRequest()
	return "vm-1"
}

func (w *wires) Cancel(_, _ string, id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels = append(w.cancels, id)
}

// clock is moved by hand.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) move(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// counted is the value of a counter with one label.
func counted(t *testing.T, reg *prometheus.Registry, name, value string) float64 {
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

func answerTo(r *pb.SubRequest) *pb.SubReply {
	return &pb.SubReply{Id: r.Id, Result: pb.Result_OK, Snapshot: r.Snapshot, Body: []byte(`{"hits":[{"id":"x"}]}`)}
}

// Symptom: after a pause of the process its queries end empty.
// Sequence: the replies are in the inbox and the deadline has passed when the
// worker runs again.
// Cause: time passed for the queries between two replies.
func TestInboxBeforeDeadline(t *testing.T) {
	defer goleak.VerifyNone(t)
	w := &wires{sent: make(chan *pb.SubRequest, 10)}
	c := &clock{now: time.Unix(1000, 0)}
	e := NewEngine(EngineOptions{Fleet: anyReplica{}, Sender: w, Loops: 1, Now: c.Now, Metrics: NewMetrics(prometheus.NewRegistry())})
	l := e.loops[0]
	r := newRig(t, mapOf(1, 3, 1), func(k *pb.Kind) { k.HedgePercent = 0 })
	run := newRunning(New(r.plan, anyReplica{}), r.plan)
	l.post(mail{start: run})
	l.drain(nil)
	c.move(time.Hour)
	for range 3 {
		e.Deliver(answerTo(<-w.sent))
	}
	l.drain(nil)
	l.wakeDue()
	l.post(mail{run: run, decoded: run.decode()})
	l.drain(nil)
	if out := <-run.finished; out.Covered != 30 {
		t.Errorf("covered %d of 30 with every answer in the inbox", out.Covered)
	}
}

// Symptom: a reply reaches a query that did not ask for it, or strays go unseen.
// Sequence: replies come twice, after their attempt was withdrawn, and under ids
// that were never given out.
// Cause: late, repeated and foreign replies.
func TestStrayReplies(t *testing.T) {
	defer goleak.VerifyNone(t)
	w := &wires{sent: make(chan *pb.SubRequest, 10)}
	c := &clock{now: time.Unix(1000, 0)}
	reg := prometheus.NewRegistry()
	e := NewEngine(EngineOptions{Fleet: anyReplica{}, Sender: w, Loops: 1, Now: c.Now, Metrics: NewMetrics(reg)})
	ctx, cancel := context.WithCancel(context.Background())
	e.Start(ctx)
	r := newRig(t, mapOf(1, 1, 2), nil)
	done := make(chan *Outcome)
	go func() {
		out, _ := e.Run(ctx, r.plan)
		done <- out
	}()
	first := <-w.sent
	// The hedge goes out by the fleet's delay of a millisecond of this clock.
	c.move(10 * ms)
	e.Deliver(&pb.SubReply{Id: 1 << 40})
	hedge := <-w.sent
	e.Deliver(answerTo(hedge))
	out := <-done
	e.Deliver(answerTo(hedge))
	e.Deliver(answerTo(first))
	e.Deliver(answerTo(first))
	e.Deliver(&pb.SubReply{Id: maxLoops - 1})
	cancel()
	e.Wait()
	e.loops[0].drain(nil)
	if out.Covered != 10 || len(w.cancels) != 1 || w.cancels[0] != first.Id {
		t.Errorf("covered %d, withdrew %v", out.Covered, w.cancels)
	}
	for why, want := range map[strayKind]float64{late: 1, duplicate: 2, foreign: 2} {
		if got := counted(t, reg, "sycamorekeel_query_stray_replies_total", string(why)); got != want {
			t.Errorf("%v %s replies, want %v", got, why, want)
		}
	}
	if got := counted(t, reg, "sycamorekeel_query_requests_total", "hedge"); got != 1 {
		t.Errorf("%v hedges counted", got)
	}
}

// Symptom: "abandoned" queries keep slots at the upstreams.
// Sequence: the caller goes away while its sub-requests are open.
// Cause: nothing withdrew them.
func TestAbandonedQueryIsWithdrawn(t *testing.T) {
	defer goleak.VerifyNone(t)
	w := &wires{sent: make(chan *pb.SubRequest, 10)}
	e := NewEngine(EngineOptions{Fleet: anyReplica{}, Sender: w, Loops: 1, Now: time.Now, Metrics: NewMetrics(prometheus.NewRegistry())})
	ctx, cancel := context.WithCancel(context.Background())
	e.Start(ctx)
	r := newRig(t, mapOf(1, 3, 1), nil)
	r.plan.Deadline = time.Now().Add(time.Hour)
	caller, leave := context.WithCancel(ctx)
	ended := make(chan error)
	go func() {
		_, err := e.Run(caller, r.plan)
		ended <- err
	}()
	for range 3 {
		<-w.sent
	}
	leave()
	if err := <-ended; err == nil {
		t.Error("an abandoned query gave an answer")
	}
	cancel()
	e.Wait()
	e.loops[0].drain(nil)
	if len(w.cancels) != 3 {
		t.Errorf("withdrew %v, want all three", w.cancels)
	}
}
