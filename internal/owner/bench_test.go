package owner

import (
	"sync/atomic"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

// BenchmarkSubmit: one sub-request from Submit to its reply, with the HTTP call
// to the stand-in and the stand-in's own work in the same process.
func BenchmarkSubmit(b *testing.B) {
	r := newRig(b, rigConfig{moving: true, slots: 5, connections: 40})
	r.ramp()
	done := make(chan struct{})
	reply := func(*pb.SubReply) { done <- struct{}{} }
	id := uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		id++
		r.owner.Submit(r.key(id), request(id), reply)
		<-done
	}
}

// BenchmarkRefuse: one sub-request that is refused, so without the HTTP call.
func BenchmarkRefuse(b *testing.B) {
	r := newRig(b, rigConfig{moving: true, slots: 5, connections: 40})
	r.become(None)
	id := uint64(1)
	reply := func(*pb.SubReply) {}
	b.ReportAllocs()
	for b.Loop() {
		id++
		r.owner.Submit(r.key(id), request(id), reply)
	}
}

func request(id uint64) *pb.SubRequest {
	return &pb.SubRequest{
		Id:          id,
		Upstream:    upstreamID,
		Customer:    "c",
		Snapshot:    &pb.Snapshot{Generation: 1, Version: 1},
		RemainingUs: uint32(patience.Microseconds()),
		Idempotent:  true,
		Body:        []byte(`{}`),
	}
}

// BenchmarkCancel: a straggler holds the only slot, is withdrawn, and another
// takes its slot. It is the time from the cancellation to that one's reply, by
// what opening a connection costs: asking the upstream to give up keeps the
// connection; closing it is the alternative, shown by its open cost.
func BenchmarkCancel(b *testing.B) {
	for name, open := range map[string]time.Duration{"open=0ms": 0, "open=1ms": time.Millisecond, "open=6ms": 6 * time.Millisecond} {
		b.Run("ask/"+name, func(b *testing.B) { benchmarkCancel(b, open, false) })
		b.Run("close/"+name, func(b *testing.B) { benchmarkCancel(b, open, true) })
	}
}

func benchmarkCancel(b *testing.B, open time.Duration, closing bool) {
	r := newRig(b, rigConfig{moving: true, slots: 1, connections: 40, behaviour: standin.Behaviour{OpenDelay: open}})
	<-r.send(1)
	id := uint64(10)
	b.ResetTimer()
	b.StopTimer()
	for range b.N {
		id += 2
		held, _ := r.hold(id)
		waiting := r.send(id + 1)
		b.StartTimer()
		if closing {
			r.server.CloseConnection(body(id))
		} else {
			r.cancel(id)
		}
		<-held
		<-waiting
		b.StopTimer()
	}
}

// BenchmarkRefuseParallel is BenchmarkRefuse from all processors at once: the
// locks that every sub-request passes.
func BenchmarkRefuseParallel(b *testing.B) {
	r := newRig(b, rigConfig{moving: true, slots: 5, connections: 40})
	r.become(None)
	var id atomic.Uint64
	reply := func(*pb.SubReply) {}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			n := id.Add(1)
			r.owner.Submit(r.key(n), request(n), reply)
		}
	})
}
