package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/peer"
)

func frames(f ...*pb.Frame) *pb.Batch { return &pb.Batch{Frames: f} }

func helloFrame(vm string) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_Hello{Hello: &pb.Hello{Vm: vm, Incarnation: 3}}}
}

func requestFrame(n int) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_Request{Request: &pb.SubRequest{Id: 1, Body: make([]byte, n)}}}
}

// unknownFrame returns a frame of a later protocol version.
func unknownFrame() *pb.Frame {
	f := &pb.Frame{}
	f.ProtoReflect().SetUnknown([]byte{0xc2, 0x3e, 0x01, 'x'}) // field 1000
	return f
}

// Failure: a frame of an unidentified peer is served, one bad stream ends a daemon,
// or a newer daemon cannot talk to an older one. A peer breaks one rule of the
// protocol. The stream was served before its hello, or an error on it was not
// contained.
func TestStreamContract(t *testing.T) {
	for _, row := range []struct {
		name    string
		batches []*pb.Batch
		// opened and frames are the handler's calls; refused says that the server
		// ends the stream.
		opened, frames int
		refused        bool
	}{
		{"a hello and a request", []*pb.Batch{frames(helloFrame("vm-a")), frames(requestFrame(2))}, 1, 1, false},
		{"no hello", []*pb.Batch{frames(requestFrame(2))}, 0, 0, true},
		{"an empty batch first", []*pb.Batch{frames(), frames(helloFrame("vm-a"))}, 0, 0, true},
		{"a hello and a request in one batch", []*pb.Batch{frames(helloFrame("vm-a"), requestFrame(2))}, 0, 0, true},
		{"a frame without a body first", []*pb.Batch{frames(&pb.Frame{})}, 0, 0, true},
		{"a frame of a later version", []*pb.Batch{frames(helloFrame("vm-a")), frames(unknownFrame(), requestFrame(2))}, 1, 2, false},
		{"an empty batch later", []*pb.Batch{frames(helloFrame("vm-a")), frames(), frames(requestFrame(2))}, 1, 1, false},
		{"a message beyond the transport's limit", []*pb.Batch{frames(helloFrame("vm-a")), frames(requestFrame(8 << 20))}, 1, 0, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			leaks := goleak.IgnoreCurrent()
			handler := &counter{}
			address, stop := serveStreams(g, handler)
			conn, stream := openStream(t, g, address)
			for _, b := range row.batches {
				// The server may refuse before the last batch is written.
				if err := stream.Send(b); err != nil {
					g.Expect(row.refused).To(BeTrue(), "%v", err)
				}
			}
			if row.refused {
				_, err := stream.Recv()
				g.Expect(err).To(HaveOccurred())
			} else {
				g.Eventually(handler.frames.Load).Should(BeEquivalentTo(row.frames))
			}
			g.Expect(conn.Close()).To(Succeed())
			stop()
			g.Expect(handler.opened.Load()).To(BeEquivalentTo(row.opened))
			g.Expect(handler.frames.Load()).To(BeEquivalentTo(row.frames))
			g.Eventually(func() error { return goleak.Find(leaks) }).Should(Succeed())
		})
	}
}

// Failure: a daemon accepts no more streams after a connection sent bytes that are
// not of the protocol, or was closed within a message. An error on one connection
// ended the server.
func TestServerOutlivesBadConnections(t *testing.T) {
	g := NewWithT(t)
	leaks := goleak.IgnoreCurrent()
	handler := &counter{}
	address, stop := serveStreams(g, handler)
	for _, bytes := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00", "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff", ""} {
		conn, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write([]byte(bytes))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(conn.Close()).To(Succeed())
	}
	conn, stream := openStream(t, g, address)
	g.Expect(stream.Send(frames(helloFrame("vm-a")))).To(Succeed())
	g.Expect(stream.Send(frames(requestFrame(2)))).To(Succeed())
	g.Eventually(handler.frames.Load).Should(BeEquivalentTo(1))
	g.Expect(conn.Close()).To(Succeed())
	stop()
	g.Eventually(func() error { return goleak.Find(leaks) }).Should(Succeed())
}

func TestUnknownFrameHasNoBody(t *testing.T) {
	g := NewWithT(t)
	raw, err := proto.Marshal(unknownFrame())
	g.Expect(err).NotTo(HaveOccurred())
	f := &pb.Frame{}
	g.Expect(proto.Unmarshal(raw, f)).To(Succeed())
	g.Expect(f.Body).To(BeNil())
	g.Expect(f.ProtoReflect().GetUnknown()).NotTo(BeEmpty())
}

func serveStreams(g *WithT, handler peer.Handler) (address string, stop func()) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server, err := peer.NewServer(zap.NewNop(), handler)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, ln) }()
	return ln.Addr().String(), func() {
		cancel()
		g.Expect(<-done).To(Succeed())
	}
}

func openStream(t *testing.T, g *WithT, address string) (*drpcconn.Conn, pb.DRPCPeer_ExchangeClient) {
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	rpc := drpcconn.New(conn)
	// Recv would block for ever if the server wrongly accepted the stream.
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	t.Cleanup(cancel)
	stream, err := pb.NewDRPCPeerClient(rpc).Exchange(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	return rpc, stream
}
