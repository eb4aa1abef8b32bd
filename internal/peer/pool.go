// Package peer transports frames between daemons. Each daemon dials one long-lived
// stream to each peer, and frames that are queued at the same time share a batch.
// The package makes no routing decisions.
//
// Lock order: Pool.mu, then link.mu, then outbox.mu; none is held across I/O or
// a callback.
package peer

import (
	"context"
	"errors"
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
	// redialDelay is the minimum time between a broken stream and the next dial.
	redialDelay = 200 * time.Millisecond
	// brokenRetention is how long a broken stream is remembered.
	brokenRetention = time.Minute
)

// errStalled ends a stream whose peer sent nothing after a heartbeat.
var errStalled = errors.New("no message from the peer after a heartbeat")

// Receiver handles the frames that peers send back. Its methods must not block.
type Receiver interface {
	// Frame is called for each frame received from the peer.
	Frame(address string, f *pb.Frame)
	// Lost reports that a frame will get no reply. written says whether its
	// bytes may have reached the peer.
	Lost(address string, f *pb.Frame, written bool)
}

// Options configures a Pool.
type Options struct {
	Log      *zap.Logger
	Registry prometheus.Registerer
	Hello    *pb.Hello
	Receiver Receiver
	// Dial opens a connection to a peer address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Pool holds the streams that this daemon dialled, by peer address.
type Pool struct {
	opts    Options
	log     *zap.Logger
	metrics *metrics
	// chunkMetrics counts the dropped chunks.
	chunkMetrics *chunkMetrics
	ctx          context.Context
	cancel       context.CancelFunc
	done         sync.WaitGroup

	mu    sync.Mutex
	links map[string]*link
	// broken holds the peers whose last stream broke, by address.
	broken   map[string]brokenPeer
	shutdown bool
}

// brokenPeer is the state of a peer whose last stream broke.
type brokenPeer struct {
	// retryAt is the earliest time of the next dial.
	retryAt time.Time
	// unproven is set until the peer sends something on a new stream. Send
	// refuses sub-requests to the peer while it is set.
	unproven bool
}

// NewPool returns a pool without streams; Send opens them.
func NewPool(opts Options) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		opts:         opts,
		log:          opts.Log,
		metrics:      newMetrics(opts.Registry),
		chunkMetrics: newChunkMetrics(opts.Registry),
		ctx:          ctx,
		cancel:       cancel,
		links:        map[string]*link{},
		broken:       map[string]brokenPeer{},
	}
	p.done.Go(p.checkStalls)
	return p
}

// Dial opens a plain TCP connection. It serves tests and fleets without keys.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Send queues a frame for the peer and opens a stream if there is none. It returns
// false if the frame was not queued and so is never sent.
//
// After a stream broke, Send refuses sub-requests until the peer sends something on
// a new stream. A dial into a network partition lasts until its timeout, so that
// sub-requests would be late although another VM or replica can serve them. Other
// frames are only for that peer and wait for the dial.
func (p *Pool) Send(address string, f *pb.Frame) bool {
	l, unproven := p.linkTo(address)
	if l == nil || unproven && f.GetRequest() != nil {
		return false
	}
	return l.out.add(f)
}

// checkStalls periodically sends heartbeats to silent peers, closes stalled streams
// and removes old entries of broken.
func (p *Pool) checkStalls() {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	var links []*link
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-tick.C:
		}
		p.mu.Lock()
		links = links[:0]
		for _, l := range p.links {
			links = append(links, l)
		}
		p.forgetBroken(time.Now())
		p.mu.Unlock()
		for _, l := range links {
			l.checkStall(time.Now())
		}
	}
}

// linkTo returns the peer's stream, dialling if there is none, and whether the peer
// is unproven. The link is nil if redialDelay has not passed or the pool is closed.
func (p *Pool) linkTo(address string) (*link, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.broken[address]
	if l := p.links[address]; l != nil {
		return l, b.unproven
	}
	if p.shutdown || time.Now().Before(b.retryAt) {
		return nil, b.unproven
	}
	l := &link{pool: p, address: address, out: newOutbox(), reassembler: newReassembler(), waiting: map[uint64]*pb.Frame{}, unproven: b.unproven}
	l.ctx, l.cancel = context.WithCancelCause(p.ctx)
	p.links[address] = l
	p.done.Go(l.run)
	return l, b.unproven
}

// forgetBroken removes the state of peers that were not dialled for
// brokenRetention: they may have been replaced under other addresses. The caller
// holds mu.
func (p *Pool) forgetBroken(now time.Time) {
	for address, b := range p.broken {
		if p.links[address] == nil && now.Sub(b.retryAt) > brokenRetention {
			delete(p.broken, address)
		}
	}
}

// markProven allows sub-requests to the peer again, after it sent something.
func (p *Pool) markProven(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[l.address] == l {
		b := p.broken[l.address]
		b.unproven = false
		p.broken[l.address] = b
	}
}

// removeLink removes a broken stream and delays the next dial.
func (p *Pool) removeLink(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[l.address] == l {
		delete(p.links, l.address)
		p.broken[l.address] = brokenPeer{retryAt: time.Now().Add(redialDelay), unproven: true}
	}
}

// Close ends all streams and waits for their goroutines.
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
	// reassembler is used only by the reader.
	reassembler *reassembler

	ctx    context.Context
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// waiting holds the written frames whose replies are outstanding, by id.
	waiting map[uint64]*pb.Frame
	// stall is checked once the stream is open.
	stall stallDetector
	open  bool
	// unproven is set if the peer's previous stream broke, until the peer sends
	// something on this one.
	unproven bool
}

func (l *link) run() {
	err := l.exchange()
	if cause := context.Cause(l.ctx); errors.Is(cause, errStalled) {
		err = cause
	}
	l.cancel(nil)
	l.pool.removeLink(l)
	if l.pool.ctx.Err() == nil {
		l.pool.log.Info("peer: stream ended", zap.String("peer", l.address), zap.Error(err))
		l.pool.metrics.lost.Inc()
	}
	l.reportLost()
}

// exchange opens the stream and runs it until either direction fails.
func (l *link) exchange() error {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	conn, err := l.pool.opts.Dial(ctx, l.address)
	if err != nil {
		return err
	}
	// A write to a peer that no longer reads blocks until the connection is
	// closed.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	rpc := drpcconn.New(conn)
	defer func() { _ = rpc.Close() }()
	stream, err := pb.NewDRPCPeerClient(rpc).Exchange(ctx)
	if err != nil {
		return err
	}
	if err := stream.Send(&pb.Batch{Frames: []*pb.Frame{{Body: &pb.Frame_Hello{Hello: l.pool.opts.Hello}}}}); err != nil {
		return err
	}
	l.opened(time.Now())
	readErr := make(chan error, 1)
	go func() {
		readErr <- l.readLoop(stream)
		cancel()
	}()
	err = l.writeLoop(ctx, stream)
	cancel()
	_ = rpc.Close()
	if rerr := <-readErr; rerr != nil {
		return rerr
	}
	return err
}

// opened sends a heartbeat at once: its reply proves the peer after a broken stream.
func (l *link) opened(now time.Time) {
	l.mu.Lock()
	l.open = true
	l.stall = stallDetector{lastReceived: now, heartbeatSent: now}
	l.mu.Unlock()
	l.out.add(newHeartbeat())
}

// checkStall sends a heartbeat to a silent peer and ends a stalled stream. If the
// peer is unproven, the reply to the first heartbeat counts as outstanding.
func (l *link) checkStall(now time.Time) {
	l.mu.Lock()
	action := noAction
	if l.open {
		action = l.stall.check(now, l.unproven || len(l.waiting) > 0)
	}
	l.mu.Unlock()
	switch action {
	case sendHeartbeat:
		l.out.add(newHeartbeat())
	case closeStream:
		l.pool.metrics.stalled.Inc()
		l.cancel(errStalled)
	}
}

// markReceived records that a message arrived, which proves the peer.
func (l *link) markReceived(now time.Time) {
	l.mu.Lock()
	l.stall.received(now)
	wasUnproven := l.unproven
	l.unproven = false
	l.mu.Unlock()
	if wasUnproven {
		l.pool.markProven(l)
	}
}

func newHeartbeat() *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_Heartbeat{Heartbeat: &pb.Heartbeat{}}}
}

func (l *link) writeLoop(ctx context.Context, stream pb.DRPCPeer_ExchangeClient) error {
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
		l.trackRequests(batch)
		l.pool.metrics.sent(len(batch))
		if err := stream.Send(&pb.Batch{Frames: batch}); err != nil {
			return err
		}
	}
}

// trackRequests records the requests of a batch as waiting for replies. It is called
// before the batch is written, because its bytes may reach the peer from that point.
func (l *link) trackRequests(batch []*pb.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range batch {
		if id, ok := requestID(f); ok {
			l.waiting[id] = f
		}
	}
}

func (l *link) readLoop(stream pb.DRPCPeer_ExchangeClient) error {
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		l.markReceived(time.Now())
		frames := l.reassemble(batch.Frames)
		l.removeAnswered(frames)
		for _, f := range frames {
			if f.GetHeartbeat() == nil {
				l.pool.opts.Receiver.Frame(l.address, f)
			}
		}
	}
}

// removeAnswered removes the requests that the frames answer.
func (l *link) removeAnswered(frames []*pb.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range frames {
		if id, ok := replyID(f); ok {
			delete(l.waiting, id)
		}
	}
}

// reportLost reports every request that will get no reply.
func (l *link) reportLost() {
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

// requestID returns the id of a frame that expects a reply.
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

// replyID returns the id of the request that the frame answers. No further reply to
// that request follows.
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
