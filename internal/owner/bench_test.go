package owner

import (
	"sync/atomic"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

// BenchmarkSubmit runs one sub-request from Submit to its reply. It includes the
// HTTP call to the stand-in and the stand-in's own work in the same process.
func BenchmarkSubmit(b *testing.B) {
	r := newRig(b, rigConfig{realClock: true, slots: 5, connections: 40})
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

// BenchmarkRefuse runs one sub-request that is refused, so without an HTTP call.
func BenchmarkRefuse(b *testing.B) {
	r := newRig(b, rigConfig{realClock: true, slots: 5, connections: 40})
	r.setRole(RoleNone)
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
		RemainingUs: uint32(waitTimeout.Microseconds()),
		Idempotent:  true,
		Body:        []byte(`{}`),
	}
}

// BenchmarkCancel cancels a slow request that holds the only slot while another is
// queued. It times from the cancellation to the queued request's reply, for several
// costs of opening a connection. Asking the upstream to cancel keeps the connection
// open; closing it is the alternative and pays for a new connection.
func BenchmarkCancel(b *testing.B) {
	for name, open := range map[string]time.Duration{"open=0ms": 0, "open=1ms": time.Millisecond, "open=6ms": 6 * time.Millisecond} {
		b.Run("ask/"+name, func(b *testing.B) { benchmarkCancel(b, open, false) })
		b.Run("close/"+name, func(b *testing.B) { benchmarkCancel(b, open, true) })
	}
}

func benchmarkCancel(b *testing.B, open time.Duration, closing bool) {
	r := newRig(b, rigConfig{realClock: true, slots: 1, connections: 40, behaviour: standin.Behaviour{OpenDelay: open}})
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

// BenchmarkRefuseParallel is BenchmarkRefuse on all processors at once. It shows
// the contention on the locks that every sub-request takes.
func BenchmarkRefuseParallel(b *testing.B) {
	r := newRig(b, rigConfig{realClock: true, slots: 5, connections: 40})
	r.setRole(RoleNone)
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
