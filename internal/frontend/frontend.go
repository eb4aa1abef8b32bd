// Package frontend walks one authenticated request through admission, planning,
// the query and the merge, and gives the caller's answer or a typed refusal.
//
// Lock order: Frontend.mu is a leaf; it is not held across a query.
package frontend

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/congestion"
	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/explain"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/poison"
	"sycamorekeel.example/sycamorekeel/internal/query"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
)

const (
	// replyMargin of a deadline is kept for the merge and the way back.
	replyMargin = 0.02
	// confirmShare of a non-idempotent request's deadline, at most maxConfirm, is
	// kept to learn from the owners what they never sent: a round trip between
	// regions takes 24 ms.
	confirmShare = 0.05
	maxConfirm   = 50 * time.Millisecond
)

// Request is one caller's request.
type Request struct {
	// Body is the caller's JSON and is passed on to the shards as it came.
	Body []byte
	// Deadline, when set, is shorter than the contract's.
	Deadline time.Duration
	// Operation is the key of a non-idempotent request; empty when the caller
	// gave none.
	Operation string
}

// Answer is a caller's whole answer.
type Answer struct {
	RequestID string `json:"request_id"`
	// Operation is the key a non-idempotent request ran under.
	Operation string      `json:"operation,omitempty"`
	Snapshot  Snapshot    `json:"snapshot"`
	Coverage  Coverage    `json:"coverage"`
	Hits      []query.Hit `json:"hits"`
	ElapsedMS float64     `json:"elapsed_ms"`
}

// Snapshot is the one state of the index the answer reflects.
type Snapshot struct {
	Generation uint32 `json:"generation"`
	Version    uint64 `json:"version"`
}

// Coverage is how much of the data the answer covers.
type Coverage struct {
	// Fraction of the documents, 0 to 1.
	Fraction       float64        `json:"fraction"`
	ShardsAnswered int            `json:"shards_answered"`
	ShardsTotal    int            `json:"shards_total"`
	Missing        []MissingShard `json:"missing,omitempty"`
}

// MissingShard is a shard the answer does not cover, and why.
type MissingShard struct {
	Shard  uint32 `json:"shard"`
	Reason string `json:"reason"`
}

// Failure is a refusal with what is known of the request.
type Failure struct {
	*refusal.Error
	RequestID string
	// Operation is the key of a non-idempotent request.
	Operation string
	Coverage  *Coverage
}

// Admission decides whether a request may start.
type Admission interface {
	// Admit starts a request that has the given time, or says why it may not
	// start. Done ends it; took counts when the request was answered.
	Admit(k *contract.Kind, budget time.Duration) *refusal.Error
	Done(k *contract.Kind, took time.Duration, answered bool)
}

// Pinner chooses the snapshot a query is pinned to.
type Pinner interface {
	Pin(now time.Time, s *contract.Service) (*contract.ShardMap, *pb.Snapshot, bool)
}

// Options is what a frontend needs.
type Options struct {
	Log       *zap.Logger
	Registry  prometheus.Registerer
	Engine    *query.Engine
	Admission Admission
	Pinner    Pinner
	Explain   *explain.Ring
	// Poison keeps requests that crash upstreams from them.
	Poison *poison.Guard
	Now    func() time.Time
	// Unbounded scatters every admitted query at once: the baseline.
	Unbounded bool
}

// Frontend answers requests.
type Frontend struct {
	opts Options
	log  *zap.Logger
	met  *metrics

	mu       sync.Mutex
	stopping bool
	running  sync.WaitGroup
	// scatters bounds the queries of each service that run at a time.
	scatters map[string]*congestion.Limiter
}

// New makes a frontend.
func New(opts Options) *Frontend {
	return &Frontend{opts: opts, log: opts.Log, met: newMetrics(opts.Registry), scatters: map[string]*congestion.Limiter{}}
}

// Stop refuses new requests and waits for those in flight or for ctx.
func (f *Frontend) Stop(ctx context.Context) {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	done := make(chan struct{})
	go func() {
		f.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Query answers one request of an authenticated customer.
func (f *Frontend) Query(ctx context.Context, k *contract.Kind, req *Request) (*Answer, *Failure) {
	started := f.opts.Now()
	w := &walk{front: f, kind: k, req: req, started: started, id: newRequestID()}
	answer, failure := w.run(ctx)
	w.record(answer, failure)
	return answer, failure
}

// Refuse counts a refusal that was made before a kind was known.
func (f *Frontend) Refuse(e *refusal.Error) {
	f.met.refused(e)
}

// admit starts a request that has the given time. It counts as running before
// it is admitted, so that a stop waits for it.
func (f *Frontend) admit(k *contract.Kind, budget time.Duration) *refusal.Error {
	f.mu.Lock()
	if f.stopping {
		f.mu.Unlock()
		return refusal.New(refusal.Stopping, "this VM is stopping; ask for endpoints again").After(time.Second)
	}
	f.running.Add(1)
	f.mu.Unlock()
	err := f.opts.Admission.Admit(k, budget)
	if err != nil {
		f.running.Done()
	}
	return err
}

func (f *Frontend) done(k *contract.Kind, took time.Duration, answered bool) {
	f.opts.Admission.Done(k, took, answered)
	f.running.Done()
}

// walk is one request on its way.
type walk struct {
	front   *Frontend
	kind    *contract.Kind
	req     *Request
	started time.Time
	id      string
	outcome *query.Outcome
}

func (w *walk) run(ctx context.Context) (answer *Answer, failure *Failure) {
	if w.kind.Service == nil {
		return nil, w.fail(refusal.New(refusal.UnknownService, "service "+w.kind.Kind.Service+" is not defined").After(time.Minute))
	}
	params, err := readParameters(w.req.Body)
	if err != nil {
		return nil, w.fail(err)
	}
	if err := w.front.admit(w.kind, budget(w.kind, w.req)); err != nil {
		return nil, w.fail(err)
	}
	defer func() {
		w.front.done(w.kind, w.front.opts.Now().Sub(w.started), answer != nil)
	}()
	witness, err := w.witness()
	if err != nil {
		return nil, w.fail(err)
	}
	defer witness.close()
	plan, err := w.plan(params)
	if err != nil {
		return nil, w.fail(err)
	}
	plan.Witness, plan.Trial = witness, witness.trial
	if err := w.front.startScatter(w.kind); err != nil {
		return nil, w.fail(err)
	}
	outcome, runErr := w.front.opts.Engine.Run(ctx, plan)
	w.front.endScatter(w.kind, w.started, outcome)
	if runErr != nil {
		return nil, w.fail(w.abandoned())
	}
	w.outcome = outcome
	return w.finish(params)
}

// plan pins a snapshot and chooses the shards.
func (w *walk) plan(p parameters) (*query.Plan, *refusal.Error) {
	shards, snapshot, ok := w.front.opts.Pinner.Pin(w.started, w.kind.Service)
	if !ok {
		return nil, refusal.New(refusal.NoSnapshot, "no snapshot of the service is ready").After(time.Second)
	}
	if w.kind.Merge == pb.Merge_SINGLE && p.Key == "" {
		return nil, refusal.New(refusal.BadRequest, "body: key must name the document")
	}
	plan := &query.Plan{
		Kind:      w.kind,
		RequestID: w.id,
		Body:      w.req.Body,
		Key:       p.Key,
		Map:       shards,
		Snapshot:  snapshot,
		Deadline:  w.started.Add(timeLeft(w.kind, w.req)),
	}
	if !w.kind.Idempotent {
		plan.ConfirmBy = plan.Deadline
		plan.Deadline = plan.Deadline.Add(-confirmTime(w.kind, w.req))
	}
	if soft := w.kind.SoftDeadline(); soft > 0 {
		plan.SoftDeadline = w.started.Add(soft)
	}
	return plan, nil
}

func confirmTime(k *contract.Kind, req *Request) time.Duration {
	return min(maxConfirm, time.Duration(confirmShare*float64(timeLeft(k, req))))
}

func (w *walk) finish(p parameters) (*Answer, *Failure) {
	cov := coverage(w.outcome)
	if cov.ShardsAnswered == 0 || cov.Fraction < w.kind.CoverageFloor {
		return nil, w.tooLittle(cov)
	}
	hits := query.MergeHits(w.kind.Merge, w.outcome.Shards, limit(p.Limit, int(w.kind.MaxHits)))
	return &Answer{
		RequestID: w.id,
		Operation: w.operation(),
		Snapshot:  Snapshot{Generation: w.outcome.Snapshot.Generation, Version: w.outcome.Snapshot.Version},
		Coverage:  cov,
		Hits:      hits,
		ElapsedMS: milliseconds(w.front.opts.Now().Sub(w.started)),
	}, nil
}

// tooLittle refuses an answer below the coverage floor and says what ran.
func (w *walk) tooLittle(cov Coverage) *Failure {
	e := &refusal.Error{Reason: refusal.CoverageTooLow, Ran: ran(w.outcome), Detail: "the answer covers less than the contract's floor"}
	switch {
	case e.Ran == refusal.Unknown && !w.kind.Idempotent:
		e.Reason = refusal.OutcomeUnknown
		e.Detail = "the request was sent and no answer came"
	case cov.ShardsAnswered == 0 && w.outcome.TimedOut:
		e.Reason = refusal.DeadlineExceeded
		e.Detail = "no shard answered in time"
	case cov.ShardsAnswered == 0:
		e.Reason = refusal.UpstreamFailed
		e.Detail = "no shard answered"
	}
	if e.Ran == refusal.NotRun || w.kind.Idempotent {
		e.RetryAfter = w.kind.Deadline()
	}
	failure := w.fail(e)
	failure.Coverage = &cov
	return failure
}

// abandoned refuses a request that ended without an outcome: its sub-requests
// may be anywhere.
func (w *walk) abandoned() *refusal.Error {
	e := &refusal.Error{Reason: refusal.DeadlineExceeded, Ran: refusal.Unknown, Detail: "the request was abandoned"}
	if !w.kind.Idempotent {
		e.Reason = refusal.OutcomeUnknown
	}
	return e
}

func ran(o *query.Outcome) refusal.Ran {
	switch {
	case o.Unsure:
		return refusal.Unknown
	case o.Ran:
		return refusal.DidRun
	default:
		return refusal.NotRun
	}
}

func (w *walk) fail(e *refusal.Error) *Failure {
	return &Failure{Error: e, RequestID: w.id, Operation: w.operation()}
}

// operation is the key the request runs under; idempotent kinds need none and
// ignore one.
func (w *walk) operation() string {
	if w.kind.Idempotent {
		return ""
	}
	return w.req.Operation
}

func (w *walk) record(a *Answer, failure *Failure) {
	elapsed := w.front.opts.Now().Sub(w.started)
	rec := &explain.Record{
		RequestID: w.id,
		Customer:  w.kind.Customer,
		Kind:      w.kind.Name,
		Started:   w.started,
		ElapsedMS: milliseconds(elapsed),
		Outcome:   "answered",
	}
	if failure != nil {
		rec.Outcome = string(failure.Reason)
		rec.Ran = string(failure.Ran)
		rec.Detail = failure.Detail
		w.front.met.refused(failure.Error)
	}
	if w.outcome != nil {
		rec.Coverage = w.outcome.Coverage()
		rec.Snapshot = explain.Snapshot(w.outcome.Snapshot)
		rec.Restarts = w.outcome.Restarts
		rec.Shards = explain.Shards(w.outcome)
		w.front.met.lost(w.outcome)
	}
	if a != nil {
		w.front.met.answered(w.kind, elapsed, a.Coverage.Fraction)
	}
	w.front.opts.Explain.Add(rec)
}

func coverage(o *query.Outcome) Coverage {
	c := Coverage{Fraction: o.Coverage(), ShardsTotal: len(o.Shards)}
	for _, s := range o.Shards {
		if s.Missing == "" {
			c.ShardsAnswered++
			continue
		}
		c.Missing = append(c.Missing, MissingShard{Shard: s.Shard.ID, Reason: string(s.Missing)})
	}
	return c
}

// limit is the smaller of two limits, 0 meaning none.
func limit(a, b int) int {
	if a == 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

func newRequestID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
