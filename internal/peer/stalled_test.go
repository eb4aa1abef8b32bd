package peer_test

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/peer"
)

// losses passes on for each lost frame whether it was written.
type losses struct{ written chan bool }

func (l *losses) Frame(string, *pb.Frame) {}
func (l *losses) Lost(_ string, _ *pb.Frame, written bool) {
	l.written <- written
}

// Failure: sub-requests wait for seconds for a frozen VM. Its connection stays open,
// so frames are written but not answered; when that stream is closed, further frames
// wait for the next one. An open connection was taken as proof of a running peer.
func TestStalledStreamIsClosedAndPeerRecovers(t *testing.T) {
	g := NewWithT(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := frozen.Addr().String()
	lost := &losses{written: make(chan bool, 100)}
	pool := peer.NewPool(peer.Options{
		Log:      zap.NewNop(),
		Registry: prometheus.NewRegistry(),
		Hello:    &pb.Hello{Vm: "vm-a", Incarnation: 1},
		Receiver: lost,
		Dial:     peer.Dial,
	})
	defer pool.Close()
	request := &pb.Frame{Body: &pb.Frame_Request{Request: &pb.SubRequest{Id: 1}}}
	// The kernel accepts the connection; no process reads from it.
	g.Expect(pool.Send(address, request)).To(BeTrue())
	g.Eventually(lost.written).WithTimeout(waitTimeout).Should(Receive(BeTrue()))
	g.Consistently(func() bool { return pool.Send(address, request) }).Should(BeFalse())
	// Frames that only this peer can handle wait for it.
	forward := &pb.Frame{Body: &pb.Frame_Forward{Forward: &pb.Forward{Id: 2}}}
	g.Eventually(func() bool { return pool.Send(address, forward) }).WithTimeout(waitTimeout).Should(BeTrue())

	g.Expect(frozen.Close()).To(Succeed())
	ln, err := net.Listen("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	server, err := peer.NewServer(zap.NewNop(), &replyCapture{reply: make(chan func(*pb.Frame), 1000)})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, ln) }()
	g.Eventually(func() bool { return pool.Send(address, request) }).WithTimeout(waitTimeout).Should(BeTrue())
	pool.Close()
	cancel()
	g.Expect(<-done).To(Succeed())
}
