package query

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// loopBits of a sub-request id tell the loop that waits for its reply.
const loopBits = 6

// maxLoops is the most loops the id has room for.
const maxLoops = 1 << loopBits

// Sender carries sub-requests to the owners of their upstreams. It must not
// block; every sub-request that is not cancelled is answered by Engine.Deliver.
type Sender interface {
	// Send carries the sub-request in f; vm is where it went.
	Send(a *Action, f *pb.Frame) (vm string)
	// Cancel withdraws the sub-request id from the VM it went to.
	Cancel(vm, upstream string, id uint64)
}

// EngineOptions is what an engine needs.
type EngineOptions struct {
	Fleet  Fleet
	Sender Sender
	// Loops is the number of workers the queries are spread over.
	Loops   int
	Now     func() time.Time
	Metrics *Metrics
}

// Engine runs queries on a fixed pool of workers. Each query belongs to one
// worker, so the state machine needs no lock.
type Engine struct {
	opts  EngineOptions
	loops []*loop
	next  atomic.Uint64
	done  sync.WaitGroup
}

// NewEngine makes an engine; Start runs its workers.
func NewEngine(opts EngineOptions) *Engine {
	e := &Engine{opts: opts}
	for i := range max(1, min(opts.Loops, maxLoops)) {
		e.loops = append(e.loops, newLoop(e, uint64(i)))
	}
	return e
}

// Start runs the workers until ctx ends.
func (e *Engine) Start(ctx context.Context) {
	for _, l := range e.loops {
		e.done.Add(1)
		go func() {
			defer e.done.Done()
			l.run(ctx)
		}()
	}
}

// Wait returns when the workers have ended.
func (e *Engine) Wait() {
	e.done.Wait()
}

// Run carries a plan out. When ctx ends first the query is abandoned and its
// sub-requests are cancelled. The answers are decoded here, in the caller's
// goroutine, while further ones are awaited: a large answer delays no other
// query.
func (e *Engine) Run(ctx context.Context, plan *Plan) (*Outcome, error) {
	l := e.loops[e.next.Add(1)%uint64(len(e.loops))]
	run := newRunning(New(plan, e.opts.Fleet), plan)
	l.post(mail{start: run})
	for {
		select {
		case out := <-run.finished:
			return out, nil
		case <-run.bodies:
			l.post(mail{decoded: run.decode(), run: run})
		case <-ctx.Done():
			l.post(mail{abandon: run})
			return nil, ctx.Err()
		}
	}
}

// Deliver hands a reply to the query that waits for it. It never blocks.
func (e *Engine) Deliver(r *pb.SubReply) {
	i := r.Id & (maxLoops - 1)
	if i >= uint64(len(e.loops)) {
		e.opts.Metrics.stray(foreign)
		return
	}
	e.loops[i].post(mail{reply: r})
}

// running is a query on its worker.
type running struct {
	query    *Query
	plan     *Plan
	finished chan *Outcome
	wake     time.Time
	// slot is the place in the worker's timer heap, -1 when in none.
	slot int

	// bodies tells the caller's goroutine that there is something to decode.
	bodies chan struct{}
	mu     sync.Mutex
	raw    []rawBody
	spare  []rawBody
}

// rawBody is an answer to decode.
type rawBody struct {
	attempt AttemptID
	body    []byte
}

// decodedBody is an answer's hits, or why it could not be read.
type decodedBody struct {
	attempt AttemptID
	hits    []Hit
	err     error
}

func newRunning(q *Query, plan *Plan) *running {
	return &running{query: q, plan: plan, finished: make(chan *Outcome, 1), bodies: make(chan struct{}, 1), slot: -1}
}

func (r *running) addBody(b rawBody) {
	r.mu.Lock()
	r.raw = append(r.raw, b)
	r.mu.Unlock()
	select {
	case r.bodies <- struct{}{}:
	default:
	}
}

func (r *running) decode() []decodedBody {
	r.mu.Lock()
	raw := r.raw
	r.raw, r.spare = r.spare[:0], nil
	r.mu.Unlock()
	out := make([]decodedBody, len(raw))
	for i, b := range raw {
		hits, err := DecodeHits(b.body)
		out[i] = decodedBody{attempt: b.attempt, hits: hits, err: err}
	}
	clear(raw)
	r.spare = raw
	return out
}
