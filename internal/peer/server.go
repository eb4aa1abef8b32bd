package peer

import (
	"context"
	"net"
	"sync"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Handler serves the frames of dialling peers. Frame must not block; reply may
// be called at any time, from any goroutine, and drops frames once the stream
// has ended.
type Handler interface {
	// Opened tells that a peer's stream has opened; it comes before its first
	// frame.
	Opened(from *pb.Hello, reply func(*pb.Frame))
	Frame(from *pb.Hello, f *pb.Frame, reply func(*pb.Frame))
	// Gone tells that the peer's stream has ended.
	Gone(from *pb.Hello)
}

// Server accepts the streams of peers.
type Server struct {
	log     *zap.Logger
	handler Handler
	server  *drpcserver.Server
	done    sync.WaitGroup
}

// NewServer makes a server that hands frames to handler.
func NewServer(log *zap.Logger, handler Handler) (*Server, error) {
	s := &Server{log: log, handler: handler}
	mux := drpcmux.New()
	if err := pb.DRPCRegisterPeer(mux, &exchange{server: s}); err != nil {
		return nil, trace.Wrap(err)
	}
	s.server = drpcserver.New(mux)
	return s, nil
}

// Serve accepts streams until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	err := s.server.Serve(ctx, ln)
	s.done.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}

type exchange struct{ server *Server }

// Exchange serves one stream. The first frame must be a Hello.
func (e *exchange) Exchange(stream pb.DRPCPeer_ExchangeStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := helloOf(first)
	if hello == nil {
		return trace.BadParameter("the first frame must be a hello")
	}
	out := newOutbox()
	ctx, cancel := context.WithCancel(stream.Context())
	e.server.done.Add(1)
	go func() {
		defer e.server.done.Done()
		defer cancel()
		writeReplies(ctx, stream, out)
	}()
	err = e.read(stream, hello, out)
	cancel()
	out.close()
	e.server.handler.Gone(hello)
	return err
}

func (e *exchange) read(stream pb.DRPCPeer_ExchangeStream, hello *pb.Hello, out *outbox) error {
	reply := func(f *pb.Frame) { out.add(f) }
	e.server.handler.Opened(hello, reply)
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		for _, f := range batch.Frames {
			e.server.handler.Frame(hello, f, reply)
		}
	}
}

func writeReplies(ctx context.Context, stream pb.DRPCPeer_ExchangeStream, out *outbox) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-out.ready:
		}
		batch := out.take()
		if len(batch) == 0 {
			continue
		}
		if err := stream.Send(&pb.Batch{Frames: batch}); err != nil {
			return
		}
	}
}

func helloOf(b *pb.Batch) *pb.Hello {
	if len(b.Frames) != 1 {
		return nil
	}
	return b.Frames[0].GetHello()
}
