package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"storj.io/drpc/drpcctx"
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
	// identify tells which VM an authenticated connection belongs to; nil takes
	// the hello's word.
	identify func(transport any) (vm string, err error)

	mu       sync.Mutex
	outboxes map[*outbox]struct{}
}

// acceptPause is the wait after an accept that failed, as for want of file
// descriptors.
const acceptPause = 100 * time.Millisecond

// NewServer makes a server that hands frames to handler.
func NewServer(log *zap.Logger, handler Handler) (*Server, error) {
	s := &Server{log: log, handler: handler, outboxes: map[*outbox]struct{}{}}
	mux := drpcmux.New()
	if err := pb.DRPCRegisterPeer(mux, &exchange{server: s}); err != nil {
		return nil, trace.Wrap(err)
	}
	s.server = drpcserver.New(mux)
	return s, nil
}

// Identify makes the server refuse a stream whose hello names another VM than
// its connection was authenticated for. It is to be called before Serve.
func (s *Server) Identify(f func(transport any) (vm string, err error)) {
	s.identify = f
}

// Serve accepts streams until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	defer s.done.Wait()
	defer cancel()
	for {
		conn, err := ln.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return trace.Wrap(err)
		case err != nil:
			s.log.Warn("peer: accept failed", zap.Error(err))
			pause(ctx)
		default:
			s.done.Go(func() { s.serveOne(ctx, conn) })
		}
	}
}

func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(acceptPause):
	}
}

func (s *Server) serveOne(ctx context.Context, conn net.Conn) {
	err := s.server.ServeOne(drpcctx.WithTransport(ctx, conn), conn)
	if err != nil && ctx.Err() == nil {
		s.log.Debug("peer: connection ended", zap.String("from", conn.RemoteAddr().String()), zap.Error(err))
	}
}

// flushPoll is how often Flush looks whether all is sent.
const flushPoll = 2 * time.Millisecond

// Flush waits until every reply is on its way, or until ctx ends: a stop that
// closed the streams before would cut off answers that were ready.
func (s *Server) Flush(ctx context.Context) {
	t := time.NewTicker(flushPoll)
	defer t.Stop()
	for !s.flushed() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (s *Server) flushed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for out := range s.outboxes {
		if !out.empty() {
			return false
		}
	}
	return true
}

func (s *Server) track(out *outbox) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outboxes[out] = struct{}{}
}

func (s *Server) untrack(out *outbox) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.outboxes, out)
}

// admit checks the hello against the connection's certificate: a VM under a
// wrong name would get the replies, and free the requests, of another.
func (s *Server) admit(ctx context.Context, hello *pb.Hello) error {
	if s.identify == nil {
		return nil
	}
	conn, _ := drpcctx.Transport(ctx)
	vm, err := s.identify(conn)
	if err != nil {
		return trace.Wrap(err)
	}
	if vm != hello.Vm {
		s.log.Warn("peer: stream refused, its hello names another VM than its certificate",
			zap.String("hello", hello.Vm), zap.String("certificate", vm))
		return trace.AccessDenied("the hello names another VM than the certificate")
	}
	return nil
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
	if err := e.server.admit(stream.Context(), hello); err != nil {
		return err
	}
	out := newOutbox()
	e.server.track(out)
	defer e.server.untrack(out)
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
			if f.GetHeartbeat() != nil {
				reply(newHeartbeat())
				continue
			}
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
		out.sent()
	}
}

func helloOf(b *pb.Batch) *pb.Hello {
	if len(b.Frames) != 1 {
		return nil
	}
	return b.Frames[0].GetHello()
}
