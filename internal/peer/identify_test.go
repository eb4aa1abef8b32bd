package peer_test

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/peer"
	"sycamorekeel.example/sycamorekeel/internal/peerauth"
)

// counter counts the calls of a handler.
type counter struct{ frames, opened atomic.Int64 }

func (c *counter) Opened(*pb.Hello, func(*pb.Frame))           { c.opened.Add(1) }
func (c *counter) Frame(*pb.Hello, *pb.Frame, func(*pb.Frame)) { c.frames.Add(1) }
func (c *counter) Closed(*pb.Hello)                            {}

// lossCounter counts the frames that a pool reports as lost.
type lossCounter struct{ lost atomic.Int64 }

func (c *lossCounter) Frame(string, *pb.Frame)      {}
func (c *lossCounter) Lost(string, *pb.Frame, bool) { c.lost.Add(1) }

// Failure: replies and cancellations of a VM go to another one. A daemon is started
// with another VM's settings, so that its certificate and its hello name different
// VMs. The hello was not checked against the certificate.
func TestStreamWithWrongNameIsRefused(t *testing.T) {
	for _, row := range []struct {
		hello   string
		refused bool
	}{{"vm-a", false}, {"vm-b", true}, {"", true}} {
		t.Run("hello "+row.hello, func(t *testing.T) {
			g := NewWithT(t)
			leaks := goleak.IgnoreCurrent()
			keys := []*pb.PeerKey{{Id: "k", Secret: strings.Repeat("k", 32)}}
			client, err := peerauth.New("vm-a", keys)
			g.Expect(err).NotTo(HaveOccurred())
			host, err := peerauth.New("vm-c", keys)
			g.Expect(err).NotTo(HaveOccurred())
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			handler := &counter{}
			server, err := peer.NewServer(zap.NewNop(), handler)
			g.Expect(err).NotTo(HaveOccurred())
			server.Identify(peerauth.PeerName)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- server.Serve(ctx, host.Listen(ln)) }()
			losses := &lossCounter{}
			pool := peer.NewPool(peer.Options{
				Log:      zap.NewNop(),
				Registry: prometheus.NewRegistry(),
				Hello:    &pb.Hello{Vm: row.hello, Incarnation: 1},
				Receiver: losses,
				Dial:     client.Dial,
			})
			g.Expect(pool.Send(ln.Addr().String(), &pb.Frame{Body: &pb.Frame_Request{Request: &pb.SubRequest{Id: 1}}})).To(BeTrue())
			if row.refused {
				g.Eventually(losses.lost.Load).WithTimeout(waitTimeout).Should(BeEquivalentTo(1))
				g.Expect(handler.opened.Load()).To(BeZero())
				g.Expect(handler.frames.Load()).To(BeZero())
			} else {
				g.Eventually(handler.frames.Load).WithTimeout(waitTimeout).Should(BeEquivalentTo(1))
			}
			pool.Close()
			cancel()
			g.Expect(<-done).To(Succeed())
			g.Eventually(func() error { return goleak.Find(leaks) }).WithTimeout(waitTimeout).Should(Succeed())
		})
	}
}
