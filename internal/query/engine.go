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
	Send(s *Send, r *pb.SubRequest)
	Cancel(c *Cancel, id uint64)
}

// EngineOptions is what an engine needs.
type EngineOptions struct {
	Fleet  Fleet
	Sender Sender
	// Loops is the number of workers the queries are spread over.
	Loops int
	Now   func() time.Time
	// Stray is called for each reply nobody waits for.
	Stray func(*pb.SubReply)
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
// sub-requests are cancelled.
func (e *Engine) Run(ctx context.Context, plan *Plan) (*Outcome, error) {
	l := e.loops[e.next.Add(1)%uint64(len(e.loops))]
	run := &running{query: New(plan, e.opts.Fleet), plan: plan, finished: make(chan *Outcome, 1)}
	l.post(mail{start: run})
	select {
	case out := <-run.finished:
		return out, nil
	case <-ctx.Done():
		l.post(mail{abandon: run})
		return nil, ctx.Err()
	}
}

// Deliver hands a reply to the query that waits for it. It never blocks.
func (e *Engine) Deliver(r *pb.SubReply) {
	i := r.Id & (maxLoops - 1)
	if i >= uint64(len(e.loops)) {
		e.opts.Stray(r)
		return
	}
	e.loops[i].post(mail{reply: r})
}

// running is a query on its worker.
type running struct {
	query    *Query
	plan     *Plan
	finished chan *Outcome
	// ids of the attempts that are open, to cancel and forget them.
	ids  map[AttemptID]uint64
	wake time.Time
	// slot is the place in the worker's timer heap, -1 when in none.
	slot int
}
