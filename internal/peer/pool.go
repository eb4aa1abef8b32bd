// Package peer carries frames between daemons: one long-lived stream for each
// ordered pair, batched by what waits. It decides nothing.
//
// Lock order: Pool.mu, then link.mu, then outbox.mu; none is held across I/O or
// a callback.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"storj.io/drpc/drpcconn"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

const (
	dialTimeout = time.Second
	// redialAfter is how long a peer that could not be reached is left alone.
	redialAfter = 200 * time.Millisecond
)

// Receiver takes what comes back from peers. Its methods must not block.
type Receiver interface {
	// Frame is one frame of the peer.
	Frame(address string, f *pb.Frame)
	// Lost tells that a frame with a reply outstanding will get none; written
	// says that its bytes may have reached the peer.
	Lost(address string, f *pb.Frame, written bool)
}

// Options is what a pool needs.
type Options struct {
	Log      *zap.Logger
	Registry prometheus.Registerer
	Hello    *pb.Hello
	Receiver Receiver
	// Dial opens a connection to a peer address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Pool is the streams this daemon dialled, by peer address.
type Pool struct {
	opts Options
	log  *zap.Logger
	met  *metrics
	// chunkMet counts the dropped chunks.
	chunkMet *chunkMetrics
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu       sync.Mutex
	links    map[string]*link
	retryAt  map[string]time.Time
	shutdown bool
}

// NewPool makes a pool with no streams; Send opens them.
func NewPool(opts Options) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		opts:     opts,
		log:      opts.Log,
		met:      newMetrics(opts.Registry),
		chunkMet: newChunkMetrics(opts.Registry),
		ctx:      ctx,
		cancel:   cancel,
		links:    map[string]*link{},
		retryAt:  map[string]time.Time{},
	}
}

// Dial is the plain dialler for tests and for fleets without keys.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Send queues a frame for the peer and opens a stream if there is none. False
// means that the frame was not queued and so never sent.
func (p *Pool) Send(address string, f *pb.Frame) bool {
	l := p.link(address)
	if l == nil {
		return false
	}
	return l.out.add(f)
}

// link finds the live stream of a peer or starts one.
func (p *Pool) link(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[address]; l != nil {
		return l
	}
	if p.shutdown || time.Now().Before(p.retryAt[address]) {
		return nil
	}
	l := &link{pool: p, address: address, out: newOutbox(), chunks: newJoiner(), waiting: map[uint64]*pb.Frame{}}
	p.links[address] = l
	p.done.Add(1)
	go l.run()
	return l
}

func (p *Pool) drop(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[l.address] == l {
		delete(p.links, l.address)
		p.retryAt[l.address] = time.Now().Add(redialAfter)
	}
}

// Close ends every stream.
func (p *Pool) Close() {
	p.mu.Lock()
	p.shutdown = true
	p.mu.Unlock()
	p.cancel()
	p.done.Wait()
}

// link is one stream to a peer.
type link struct {
	pool    *Pool
	address string
	out     *outbox
	// chunks belongs to the reader.
	chunks *joiner

	mu sync.Mutex
	// waiting holds the written frames whose reply is outstanding, by id.
	waiting map[uint64]*pb.Frame
}

func (l *link) run() {
	defer l.pool.done.Done()
	err := l.exchange()
	l.pool.drop(l)
	if l.pool.ctx.Err() == nil {
		l.pool.log.Info("peer: stream ended", zap.String("peer", l.address), zap.Error(err))
		l.pool.met.lost.Inc()
	}
	l.fail()
}

// exchange runs the stream until either direction breaks.
func (l *link) exchange() error {
	ctx, cancel := context.WithCancel(l.pool.ctx)
	defer cancel()
	conn, err := l.pool.opts.Dial(ctx, l.address)
	if err != nil {
		return err
	}
	rpc := drpcconn.New(conn)
	defer func() { _ = rpc.Close() }()
	stream, err := pb.NewDRPCPeerClient(rpc).Exchange(ctx)
	if err != nil {
		return err
	}
	if err := stream.Send(&pb.Batch{Frames: []*pb.Frame{{Body: &pb.Frame_Hello{Hello: l.pool.opts.Hello}}}}); err != nil {
		return err
	}
	readErr := make(chan error, 1)
	go func() {
		readErr <- l.read(stream)
		cancel()
	}()
	err = l.write(ctx, stream)
	cancel()
	_ = rpc.Close()
	if rerr := <-readErr; rerr != nil {
		return rerr
	}
	return err
}

func (l *link) write(ctx context.Context, stream pb.DRPCPeer_ExchangeClient) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.out.ready:
		}
		batch := l.out.take()
		if len(batch) == 0 {
			continue
		}
		l.expect(batch)
		l.pool.met.sent(len(batch))
		if err := stream.Send(&pb.Batch{Frames: batch}); err != nil {
			return err
		}
	}
}

// expect notes the replies that a batch is owed, before it is written: from
// then on its bytes may have reached the peer.
func (l *link) expect(batch []*pb.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range batch {
		if id, ok := requestID(f); ok {
			l.waiting[id] = f
		}
	}
}

func (l *link) read(stream pb.DRPCPeer_ExchangeClient) error {
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		frames := l.join(batch.Frames)
		l.settle(frames)
		for _, f := range frames {
			l.pool.opts.Receiver.Frame(l.address, f)
		}
	}
}

func (l *link) settle(frames []*pb.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range frames {
		if id, ok := replyID(f); ok {
			delete(l.waiting, id)
		}
	}
}

// fail reports every frame that will get no reply.
func (l *link) fail() {
	unsent := l.out.close()
	l.mu.Lock()
	waiting := l.waiting
	l.waiting = nil
	l.mu.Unlock()
	for _, f := range waiting {
		l.pool.opts.Receiver.Lost(l.address, f, true)
	}
	for _, f := range unsent {
		if _, ok := requestID(f); ok {
			l.pool.opts.Receiver.Lost(l.address, f, false)
		}
	}
}

// requestID is the id of a frame that is owed a reply.
func requestID(f *pb.Frame) (uint64, bool) {
	switch b := f.Body.(type) {
	case *pb.Frame_Request:
		return b.Request.Id, true
	case *pb.Frame_Forward:
		return b.Forward.Id, true
	case *pb.Frame_ConfigPull:
		return b.ConfigPull.Id, true
	}
	return 0, false
}

// replyID is the id of the request that a frame answers for good.
func replyID(f *pb.Frame) (uint64, bool) {
	switch b := f.Body.(type) {
	case *pb.Frame_Reply:
		return b.Reply.Id, true
	case *pb.Frame_ForwardReply:
		return b.ForwardReply.Id, true
	case *pb.Frame_ConfigDocuments:
		return b.ConfigDocuments.Id, true
	}
	return 0, false
}
