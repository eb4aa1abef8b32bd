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

// Handler handles the frames of peers that dialled this VM. Frame must not block.
// reply may be called at any time and from any goroutine; it drops the frame if the
// stream has ended.
type Handler interface {
	// Opened is called when a peer's stream opens, before its first frame.
	Opened(from *pb.Hello, reply func(*pb.Frame))
	Frame(from *pb.Hello, f *pb.Frame, reply func(*pb.Frame))
	// Closed is called when the peer's stream has ended.
	Closed(from *pb.Hello)
}

// Server accepts streams from peers.
type Server struct {
	log     *zap.Logger
	handler Handler
	server  *drpcserver.Server
	done    sync.WaitGroup
	// identify returns the VM that an authenticated connection belongs to. If
	// nil, the hello is not verified.
	identify func(transport any) (vm string, err error)

	mu       sync.Mutex
	outboxes map[*outbox]struct{}
}

// acceptRetryDelay is the wait after a failed accept, for example because no file
// descriptor is free.
const acceptRetryDelay = 100 * time.Millisecond

// NewServer returns a server that passes frames to handler.
func NewServer(log *zap.Logger, handler Handler) (*Server, error) {
	s := &Server{log: log, handler: handler, outboxes: map[*outbox]struct{}{}}
	mux := drpcmux.New()
	if err := pb.DRPCRegisterPeer(mux, &exchangeService{server: s}); err != nil {
		return nil, trace.Wrap(err)
	}
	s.server = drpcserver.New(mux)
	return s, nil
}

// Identify makes the server refuse a stream whose hello names a different VM than
// the one its connection is authenticated for. It must be called before Serve.
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
			waitAcceptRetry(ctx)
		default:
			s.done.Go(func() { s.serveOne(ctx, conn) })
		}
	}
}

func waitAcceptRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(acceptRetryDelay):
	}
}

func (s *Server) serveOne(ctx context.Context, conn net.Conn) {
	err := s.server.ServeOne(drpcctx.WithTransport(ctx, conn), conn)
	if err != nil && ctx.Err() == nil {
		s.log.Debug("peer: connection ended", zap.String("from", conn.RemoteAddr().String()), zap.Error(err))
	}
}

// flushPollInterval is how often Flush checks whether everything is sent.
const flushPollInterval = 2 * time.Millisecond

// Flush waits until all queued replies are sent or ctx ends. If a stop closed the
// streams before that, replies that were ready would be lost.
func (s *Server) Flush(ctx context.Context) {
	t := time.NewTicker(flushPollInterval)
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
		if !out.drained() {
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

// verifyHello checks the hello against the connection's certificate. A VM under a
// wrong name would receive the replies of another VM and could release its requests.
func (s *Server) verifyHello(ctx context.Context, hello *pb.Hello) error {
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

type exchangeService struct{ server *Server }

// Exchange serves one stream. The first frame must be a Hello.
func (e *exchangeService) Exchange(stream pb.DRPCPeer_ExchangeStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := helloFrom(first)
	if hello == nil {
		return trace.BadParameter("the first frame must be a hello")
	}
	if err := e.server.verifyHello(stream.Context(), hello); err != nil {
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
	err = e.readLoop(stream, hello, out)
	cancel()
	out.close()
	e.server.handler.Closed(hello)
	return err
}

func (e *exchangeService) readLoop(stream pb.DRPCPeer_ExchangeStream, hello *pb.Hello, out *outbox) error {
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
		out.markSent()
	}
}

func helloFrom(b *pb.Batch) *pb.Hello {
	if len(b.Frames) != 1 {
		return nil
	}
	return b.Frames[0].GetHello()
}
