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

// waitTimeout is far longer than a busy machine needs.
const waitTimeout = 30 * time.Second

// replyCapture passes on the reply function of each frame.
type replyCapture struct{ reply chan func(*pb.Frame) }

func (a *replyCapture) Opened(*pb.Hello, func(*pb.Frame)) {}
func (a *replyCapture) Frame(_ *pb.Hello, _ *pb.Frame, reply func(*pb.Frame)) {
	a.reply <- reply
}
func (a *replyCapture) Closed(*pb.Hello) {}

// frameCounter counts the frames received from peers.
type frameCounter struct{ frames atomic.Int64 }

func (a *frameCounter) Frame(string, *pb.Frame)      { a.frames.Add(1) }
func (a *frameCounter) Lost(string, *pb.Frame, bool) {}

// Failure: replies that were ready are lost when their VM stops as planned. An owner
// answers many sub-requests, and the stop ends the streams while replies are still
// queued.
func TestFlushSendsQueuedReplies(t *testing.T) {
	const replies = 5000
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	handler := &replyCapture{reply: make(chan func(*pb.Frame), 1)}
	server, err := peer.NewServer(zap.NewNop(), handler)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, ln) }()
	got := &frameCounter{}
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
	g.Eventually(got.frames.Load).WithTimeout(waitTimeout).Should(BeEquivalentTo(replies))
}
