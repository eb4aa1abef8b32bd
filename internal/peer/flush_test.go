package peer_test

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/peer"
)

// patience is far above what a busy machine needs.
const patience = 30 * time.Second

// answerer keeps the way back to the peer.
type answerer struct{ reply chan func(*pb.Frame) }

func (a *answerer) Opened(*pb.Hello, func(*pb.Frame)) {}
func (a *answerer) Frame(_ *pb.Hello, _ *pb.Frame, reply func(*pb.Frame)) {
	a.reply <- reply
}
func (a *answerer) Gone(*pb.Hello) {}

// arrivals counts the frames that came back.
type arrivals struct{ frames atomic.Int64 }

func (a *arrivals) Frame(string, *pb.Frame)      { a.frames.Add(1) }
func (a *arrivals) Lost(string, *pb.Frame, bool) {}

// Symptom: answers that were ready are lost when their VM stops as planned.
// Sequence: an owner answers many sub-requests; the stop ends the streams.
// Cause: the answers still wait to be written.
func TestFlushSendsWhatWaitsBeforeTheStreamsEnd(t *testing.T) {
	const replies = 5000
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	handler := &answerer{reply: make(chan func(*pb.Frame), 1)}
	server, err := peer.NewServer(zap.NewNop(), handler)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, ln) }()
	got := &arrivals{}
	pool := peer.NewPool(peer.Options{
		Log:      zap.NewNop(),
		Registry: prometheus.NewRegistry(),
		Hello:    &pb.Hello{Vm: "vm-a", Incarnation: 1},
		Receiver: got,
		Dial:     peer.Dial,
	})
	defer pool.Close()
	g.Expect(pool.Send(ln.Addr().String(), &pb.Frame{Body: &pb.Frame_Request{Request: &pb.SubRequest{Id: 1}}})).To(BeTrue())
	reply := <-handler.reply
	frame := &pb.Frame{Body: &pb.Frame_Status{Status: &pb.UpstreamStatus{Upstream: strings.Repeat("u", 2000)}}}
	for range replies {
		reply(frame)
	}
	server.Flush(context.Background())
	cancel()
	g.Expect(<-done).To(Succeed())
	g.Eventually(got.frames.Load).WithTimeout(patience).Should(BeEquivalentTo(replies))
}
