// Package peer carries frames between daemons: one long-lived stream for each
// ordered pair, batched by what waits. It decides nothing.
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
	// redialAfter is how long a peer that could not be reached is left alone.
	redialAfter = 200 * time.Millisecond
	// forgetAfter is how long a broken stream is remembered.
	forgetAfter = time.Minute
)

// errStalled ends a stream whose peer says nothing though it was asked.
var errStalled = errors.New("the peer is silent")

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

	mu    sync.Mutex
	links map[string]*link
	// broken holds the peers whose last stream broke.
	broken   map[string]breakage
	shutdown bool
}

// breakage is what is known of a peer whose last stream broke.
type breakage struct {
	// retryAt is when it may be dialled again.
	retryAt time.Time
	// doubted says that it has not been heard since: no sub-request waits for it.
	doubted bool
}

// NewPool makes a pool with no streams; Send opens them.
func NewPool(opts Options) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		opts:     opts,
		log:      opts.Log,
		met:      newMetrics(opts.Registry),
		chunkMet: newChunkMetrics(opts.Registry),
		ctx:      ctx,
		cancel:   cancel,
		links:    map[string]*link{},
		broken:   map[string]breakage{},
	}
	p.done.Go(p.look)
	return p
}

// Dial is the plain dialler for tests and for fleets without keys.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Send queues a frame for the peer and opens a stream if there is none. False
// means that the frame was not queued and so never sent.
//
// A peer whose last stream broke is tried without sub-requests first: a dial
// into a cut takes as long as its time limit, and they would be late, while
// another VM or replica can serve them. All else is for that peer alone and
// waits for the dial.
func (p *Pool) Send(address string, f *pb.Frame) bool {
	l, doubted := p.link(address)
	if l == nil || doubted && f.GetRequest() != nil {
		return false
	}
	return l.out.add(f)
}

// look asks silent peers and gives up those that stay silent.
func (p *Pool) look() {
	tick := time.NewTicker(heartbeatEvery)
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
		p.forget(time.Now())
		p.mu.Unlock()
		for _, l := range links {
			l.look(time.Now())
		}
	}
}

// link finds the stream of a peer or starts one, and tells whether the peer is
// doubted. It is nil while the peer is left alone.
func (p *Pool) link(address string) (*link, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.broken[address]
	if l := p.links[address]; l != nil {
		return l, b.doubted
	}
	if p.shutdown || time.Now().Before(b.retryAt) {
		return nil, b.doubted
	}
	l := &link{pool: p, address: address, out: newOutbox(), chunks: newJoiner(), waiting: map[uint64]*pb.Frame{}, proving: b.doubted}
	l.ctx, l.cancel = context.WithCancelCause(p.ctx)
	p.links[address] = l
	p.done.Go(l.run)
	return l, b.doubted
}

// forget drops what is known of peers that nobody tried to reach for long: they
// may have been replaced under other addresses. The caller holds mu.
func (p *Pool) forget(now time.Time) {
	for address, b := range p.broken {
		if p.links[address] == nil && now.Sub(b.retryAt) > forgetAfter {
			delete(p.broken, address)
		}
	}
}

// trust lets frames wait for a peer that was heard.
func (p *Pool) trust(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[l.address] == l {
		b := p.broken[l.address]
		b.doubted = false
		p.broken[l.address] = b
	}
}

func (p *Pool) drop(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[l.address] == l {
		delete(p.links, l.address)
		p.broken[l.address] = breakage{retryAt: time.Now().Add(redialAfter), doubted: true}
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

	ctx    context.Context
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// waiting holds the written frames whose reply is outstanding, by id.
	waiting map[uint64]*pb.Frame
	// silence is watched once the stream is open.
	silence heartbeat
	open    bool
	// proving is set until the peer is heard, after its last stream broke.
	proving bool
}

func (l *link) run() {
	err := l.exchange()
	if cause := context.Cause(l.ctx); errors.Is(cause, errStalled) {
		err = cause
	}
	l.cancel(nil)
	l.pool.drop(l)
	if l.pool.ctx.Err() == nil {
		l.pool.log.Info("peer: stream ended", zap.String("peer", l.address), zap.Error(err))
		l.pool.met.lost.Inc()
	}
	l.fail()
}

// exchange runs the stream until either direction breaks.
func (l *link) exchange() error {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	conn, err := l.pool.opts.Dial(ctx, l.address)
	if err != nil {
		return err
	}
	// A write to a peer that reads no more blocks: only closing ends it.
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

// opened asks the peer at once: its answer ends the doubt after a broken stream.
func (l *link) opened(now time.Time) {
	l.mu.Lock()
	l.open = true
	l.silence = heartbeat{heard: now, asked: now}
	l.mu.Unlock()
	l.out.add(newHeartbeat())
}

// look asks a silent peer, and breaks the stream of one that stays silent. With
// doubt about the peer, the answer to the first heartbeat is owed.
func (l *link) look(now time.Time) {
	l.mu.Lock()
	what := leave
	if l.open {
		what = l.silence.look(now, l.proving || len(l.waiting) > 0)
	}
	l.mu.Unlock()
	switch what {
	case ask:
		l.out.add(newHeartbeat())
	case giveUp:
		l.pool.met.stalled.Inc()
		l.cancel(errStalled)
	}
}

func (l *link) hear(now time.Time) {
	l.mu.Lock()
	l.silence.hear(now)
	proved := l.proving
	l.proving = false
	l.mu.Unlock()
	if proved {
		l.pool.trust(l)
	}
}

func newHeartbeat() *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_Heartbeat{Heartbeat: &pb.Heartbeat{}}}
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
		l.hear(time.Now())
		frames := l.join(batch.Frames)
		l.settle(frames)
		for _, f := range frames {
			if f.GetHeartbeat() == nil {
				l.pool.opts.Receiver.Frame(l.address, f)
			}
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
