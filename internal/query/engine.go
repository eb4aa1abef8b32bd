package query

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// loopBits is the number of low bits of a sub-request id that hold the index of the
// loop that awaits its reply.
const loopBits = 6

// maxLoops is the largest number of loops that fits into the id.
const maxLoops = 1 << loopBits

// Sender delivers sub-requests to the owners of their upstreams. It must not block.
// Every sub-request that is not cancelled must be answered through Engine.Deliver.
type Sender interface {
	// Send sends the sub-request in f and returns the VM it was sent to.
	Send(a *Action, f *pb.Frame) (vm string)
	// Cancel cancels the sub-request id at the VM it was sent to.
	Cancel(vm, upstream string, id uint64)
}

// EngineOptions configures an Engine.
type EngineOptions struct {
	Policy UpstreamPolicy
	Sender Sender
	// Loops is the number of workers that share the queries. Values outside 1 to
	// maxLoops are clamped.
	Loops   int
	Now     func() time.Time
	Metrics *Metrics
}

// Engine runs queries on a fixed pool of workers. Each query belongs to one worker, so
// the state machine needs no lock.
type Engine struct {
	opts    EngineOptions
	loops   []*loop
	next    atomic.Uint64
	workers sync.WaitGroup
}

// NewEngine returns an engine whose workers are not yet running.
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
		e.workers.Add(1)
		go func() {
			defer e.workers.Done()
			l.run(ctx)
		}()
	}
}

// Wait blocks until the workers have ended.
func (e *Engine) Wait() {
	e.workers.Wait()
}

// Run executes a plan. If ctx ends first, Run abandons the query, cancels its
// sub-requests and returns the context's error. Answers are decoded in the caller's
// goroutine while others are still awaited, so a large answer does not delay other
// queries.
func (e *Engine) Run(ctx context.Context, plan *Plan) (*Outcome, error) {
	l := e.loops[e.next.Add(1)%uint64(len(e.loops))]
	run := newRunningQuery(New(plan, e.opts.Policy), plan)
	l.post(event{start: run})
	for {
		select {
		case out := <-run.finished:
			return out, nil
		case <-run.bodiesReady:
			l.post(event{decoded: run.decode(), run: run})
		case <-ctx.Done():
			l.post(event{abandon: run})
			return nil, ctx.Err()
		}
	}
}

// Deliver passes a reply to the query that awaits it. It never blocks.
func (e *Engine) Deliver(r *pb.SubReply) {
	i := r.Id & (maxLoops - 1)
	if i >= uint64(len(e.loops)) {
		e.opts.Metrics.countStray(strayForeign)
		return
	}
	e.loops[i].post(event{reply: r})
}

// runningQuery is a query together with what its worker and its caller share.
type runningQuery struct {
	query    *Query
	plan     *Plan
	finished chan *Outcome
	wake     time.Time
	// heapIndex is the index in the worker's timer heap, -1 if the query is not in it.
	heapIndex int

	// bodiesReady signals the caller's goroutine that undecoded is not empty.
	bodiesReady chan struct{}
	mu          sync.Mutex
	undecoded   []rawBody
	freeBodies  []rawBody
}

// rawBody is the undecoded body of an answer.
type rawBody struct {
	attempt AttemptID
	body    []byte
}

// decodedBody holds the hits of an answer or the error from decoding it.
type decodedBody struct {
	attempt AttemptID
	hits    []Hit
	err     error
}

func newRunningQuery(q *Query, plan *Plan) *runningQuery {
	return &runningQuery{query: q, plan: plan, finished: make(chan *Outcome, 1), bodiesReady: make(chan struct{}, 1), heapIndex: -1}
}

func (r *runningQuery) addBody(b rawBody) {
	r.mu.Lock()
	r.undecoded = append(r.undecoded, b)
	r.mu.Unlock()
	select {
	case r.bodiesReady <- struct{}{}:
	default:
	}
}

func (r *runningQuery) decode() []decodedBody {
	r.mu.Lock()
	raw := r.undecoded
	r.undecoded, r.freeBodies = r.freeBodies[:0], nil
	r.mu.Unlock()
	out := make([]decodedBody, len(raw))
	for i, b := range raw {
		hits, err := DecodeHits(b.body)
		out[i] = decodedBody{attempt: b.attempt, hits: hits, err: err}
	}
	clear(raw)
	r.freeBodies = raw
	return out
}
