// Package frontend executes authenticated requests: it admits a request, plans
// and runs its query, merges the shards' replies and returns an answer or a
// typed refusal.
//
// Lock order: Frontend.mu is a leaf lock and is not held while a query runs.
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
	// replyMarginFraction is the fraction of a deadline reserved for merging and
	// for returning the reply to the caller.
	replyMarginFraction = 0.02
	// confirmFraction is the fraction of a non-idempotent request's deadline, at
	// most maxConfirmTime, reserved for asking the owners which sub-requests they
	// never sent. A round trip between regions takes 24 ms.
	confirmFraction = 0.05
	maxConfirmTime  = 50 * time.Millisecond
)

// Request is one caller's request.
type Request struct {
	// Body is the caller's JSON, forwarded to the shards unchanged.
	Body []byte
	// Deadline is the caller's time limit; 0 means that of the contract. The
	// shorter of the two applies.
	Deadline time.Duration
	// Operation is the idempotency key of a non-idempotent request, empty if the
	// caller sent none.
	Operation string
}

// Answer is the JSON body of a successful reply.
type Answer struct {
	RequestID string `json:"request_id"`
	// Operation is the idempotency key of a non-idempotent request.
	Operation string      `json:"operation,omitempty"`
	Snapshot  Snapshot    `json:"snapshot"`
	Coverage  Coverage    `json:"coverage"`
	Hits      []query.Hit `json:"hits"`
	ElapsedMS float64     `json:"elapsed_ms"`
}

// Snapshot identifies the index snapshot that all shards answered from.
type Snapshot struct {
	Generation uint32 `json:"generation"`
	Version    uint64 `json:"version"`
}

// Coverage describes how much of the data the answer covers.
type Coverage struct {
	// Fraction is the covered fraction of the documents, from 0 to 1.
	Fraction       float64        `json:"fraction"`
	ShardsAnswered int            `json:"shards_answered"`
	ShardsTotal    int            `json:"shards_total"`
	Missing        []MissingShard `json:"missing,omitempty"`
}

// MissingShard names a shard that the answer does not cover and the reason.
type MissingShard struct {
	Shard  uint32 `json:"shard"`
	Reason string `json:"reason"`
}

// Failure is a refusal together with the request's identifiers and coverage.
type Failure struct {
	*refusal.Error
	RequestID string
	// Operation is the idempotency key of a non-idempotent request.
	Operation string
	// Coverage is set only if the query ended without enough coverage.
	Coverage *Coverage
}

// Admission decides whether a request may start.
type Admission interface {
	// Admit admits a request whose time budget is budget, or returns the refusal.
	// Done ends an admitted request; took is only used if answered is true.
	Admit(k *contract.Kind, budget time.Duration) *refusal.Error
	Done(k *contract.Kind, took time.Duration, answered bool)
}

// Pinner selects the snapshot that every sub-request of a query reads.
type Pinner interface {
	Pin(now time.Time, s *contract.Service) (*contract.ShardMap, *pb.Snapshot, bool)
}

// Options configures a Frontend.
type Options struct {
	Log       *zap.Logger
	Registry  prometheus.Registerer
	Engine    *query.Engine
	Admission Admission
	Pinner    Pinner
	Explain   *explain.Ring
	// Poison blocks requests that crash upstreams.
	Poison *poison.Guard
	Now    func() time.Time
	// NoConcurrencyLimit disables the per-service concurrency limit; baseline runs use it.
	NoConcurrencyLimit bool
}

// Frontend executes queries for authenticated customers. It is safe for
// concurrent use.
type Frontend struct {
	opts Options
	log  *zap.Logger
	met  *metrics

	// halted is done when the requests in flight must end, after halt.
	halted context.Context
	halt   context.CancelFunc

	mu       sync.Mutex
	stopping bool
	running  sync.WaitGroup
	// limiters limits the concurrent queries of each service, by service name.
	limiters map[string]*congestion.Limiter
}

// New returns a Frontend that accepts requests.
func New(opts Options) *Frontend {
	f := &Frontend{opts: opts, log: opts.Log, met: newMetrics(opts.Registry), limiters: map[string]*congestion.Limiter{}}
	f.halted, f.halt = context.WithCancel(context.Background())
	return f
}

// untilHalt returns a context that is also done when the requests in flight must end.
func (f *Frontend) untilHalt(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(f.halted, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// Stop refuses new requests and waits for those in flight. When ctx is done, those that are left end
// at once, without the answers that have not arrived, so that their callers get a refusal.
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
		if f.opts.Poison != nil {
			f.opts.Poison.EndWaits()
		}
		f.halt()
	}
}

// Query executes one request of an authenticated customer. Exactly one of the
// results is non-nil.
func (f *Frontend) Query(ctx context.Context, k *contract.Kind, req *Request) (*Answer, *Failure) {
	ctx, cancel := f.untilHalt(ctx)
	defer cancel()
	started := f.opts.Now()
	x := &execution{front: f, kind: k, req: req, started: started, id: newRequestID()}
	answer, failure := x.run(ctx)
	x.record(answer, failure)
	return answer, failure
}

// CountRefusal counts a refusal made outside Query.
func (f *Frontend) CountRefusal(e *refusal.Error) {
	f.met.countRefusal(e)
}

// admit admits a request whose time budget is budget. The request counts as
// running before admission decides, so that Stop waits for it.
func (f *Frontend) admit(k *contract.Kind, budget time.Duration) *refusal.Error {
	f.mu.Lock()
	if f.stopping {
		f.mu.Unlock()
		return refusal.New(refusal.Stopping, "this VM is stopping; ask for endpoints again").WithRetryAfter(time.Second)
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

// execution is the state of one request.
type execution struct {
	front   *Frontend
	kind    *contract.Kind
	req     *Request
	started time.Time
	id      string
	outcome *query.Outcome
}

func (x *execution) run(ctx context.Context) (answer *Answer, failure *Failure) {
	if x.kind.Service == nil {
		return nil, x.fail(refusal.New(refusal.UnknownService, "service "+x.kind.Kind.Service+" is not defined").WithRetryAfter(time.Minute))
	}
	params, err := readParameters(x.req.Body)
	if err != nil {
		return nil, x.fail(err)
	}
	if err := x.front.admit(x.kind, budget(x.kind, x.req)); err != nil {
		return nil, x.fail(err)
	}
	defer func() {
		x.front.done(x.kind, x.front.opts.Now().Sub(x.started), answer != nil)
	}()
	witness, err := x.witness()
	if err != nil {
		return nil, x.fail(err)
	}
	defer witness.close()
	plan, err := x.plan(params)
	if err != nil {
		return nil, x.fail(err)
	}
	plan.CrashGuard, plan.Trial = witness, witness.trial
	if err := x.front.startScatter(x.kind); err != nil {
		return nil, x.fail(err)
	}
	outcome, runErr := x.front.opts.Engine.Run(ctx, plan)
	x.front.endScatter(x.kind, x.started, outcome)
	if runErr != nil {
		return nil, x.fail(x.abandonedError())
	}
	x.outcome = outcome
	return x.finish(params)
}

// plan pins a snapshot and selects the shards.
func (x *execution) plan(p parameters) (*query.Plan, *refusal.Error) {
	shards, snapshot, ok := x.front.opts.Pinner.Pin(x.started, x.kind.Service)
	if !ok {
		return nil, refusal.New(refusal.NoSnapshot, "no snapshot of the service is ready").WithRetryAfter(time.Second)
	}
	if x.kind.Merge == pb.Merge_SINGLE && p.Key == "" {
		return nil, refusal.New(refusal.BadRequest, "body: key must name the document")
	}
	plan := &query.Plan{
		Kind:      x.kind,
		RequestID: x.id,
		Body:      x.req.Body,
		Key:       p.Key,
		Map:       shards,
		Snapshot:  snapshot,
		Deadline:  x.started.Add(timeLeft(x.kind, x.req)),
	}
	if !x.kind.Idempotent {
		plan.ConfirmBy = plan.Deadline
		plan.Deadline = plan.Deadline.Add(-confirmTime(x.kind, x.req))
	}
	if soft := x.kind.SoftDeadline(); soft > 0 {
		plan.SoftDeadline = x.started.Add(soft)
	}
	return plan, nil
}

// confirmTime returns the part of the deadline reserved for asking the owners
// about unsent sub-requests.
func confirmTime(k *contract.Kind, req *Request) time.Duration {
	return min(maxConfirmTime, time.Duration(confirmFraction*float64(timeLeft(k, req))))
}

// finish merges the shards' hits, or refuses if the coverage is too low.
func (x *execution) finish(p parameters) (*Answer, *Failure) {
	cov := coverage(x.outcome)
	if cov.ShardsAnswered == 0 || cov.Fraction < x.kind.CoverageFloor {
		return nil, x.refuseLowCoverage(cov)
	}
	hits := query.MergeHits(x.kind.Merge, x.outcome.Shards, limit(p.Limit, int(x.kind.MaxHits)))
	return &Answer{
		RequestID: x.id,
		Operation: x.operation(),
		Snapshot:  Snapshot{Generation: x.outcome.Snapshot.Generation, Version: x.outcome.Snapshot.Version},
		Coverage:  cov,
		Hits:      hits,
		ElapsedMS: milliseconds(x.front.opts.Now().Sub(x.started)),
	}, nil
}

// refuseLowCoverage refuses an answer below the coverage floor and reports
// whether the request ran.
func (x *execution) refuseLowCoverage(cov Coverage) *Failure {
	e := &refusal.Error{Reason: refusal.CoverageTooLow, Ran: ranState(x.outcome), Detail: "the answer covers less than the contract's floor"}
	switch {
	case e.Ran == refusal.Unknown && !x.kind.Idempotent:
		e.Reason = refusal.OutcomeUnknown
		e.Detail = "the request was sent and no answer came"
	case cov.ShardsAnswered == 0 && x.outcome.TimedOut:
		e.Reason = refusal.DeadlineExceeded
		e.Detail = "no shard answered in time"
	case cov.ShardsAnswered == 0:
		e.Reason = refusal.UpstreamFailed
		e.Detail = "no shard answered"
	}
	if e.Ran == refusal.NotRun || x.kind.Idempotent {
		e.RetryAfter = x.kind.Deadline()
	}
	failure := x.fail(e)
	failure.Coverage = &cov
	return failure
}

// abandonedError is the refusal of a request that ended without an outcome. Its
// sub-requests may be queued, running or finished.
func (x *execution) abandonedError() *refusal.Error {
	e := &refusal.Error{Reason: refusal.DeadlineExceeded, Ran: refusal.Unknown, Detail: "the request was abandoned"}
	if !x.kind.Idempotent {
		e.Reason = refusal.OutcomeUnknown
	}
	return e
}

// ranState reports whether any part of the request ran.
func ranState(o *query.Outcome) refusal.Ran {
	switch {
	case o.MayHaveRun:
		return refusal.Unknown
	case o.Ran:
		return refusal.DidRun
	default:
		return refusal.NotRun
	}
}

func (x *execution) fail(e *refusal.Error) *Failure {
	return &Failure{Error: e, RequestID: x.id, Operation: x.operation()}
}

// operation returns the request's idempotency key, or "" for idempotent kinds,
// which ignore keys.
func (x *execution) operation() string {
	if x.kind.Idempotent {
		return ""
	}
	return x.req.Operation
}

// record adds the request to the metrics and to the explain ring.
func (x *execution) record(a *Answer, failure *Failure) {
	elapsed := x.front.opts.Now().Sub(x.started)
	rec := &explain.Record{
		RequestID: x.id,
		Customer:  x.kind.Customer,
		Kind:      x.kind.Name,
		Started:   x.started,
		ElapsedMS: milliseconds(elapsed),
		Outcome:   "answered",
	}
	if failure != nil {
		rec.Outcome = string(failure.Reason)
		rec.Ran = string(failure.Ran)
		rec.Detail = failure.Detail
		x.front.met.countRefusal(failure.Error)
	}
	if x.outcome != nil {
		rec.Coverage = x.outcome.Coverage()
		rec.Snapshot = explain.Snapshot(x.outcome.Snapshot)
		rec.Restarts = x.outcome.Restarts
		rec.Shards = explain.Shards(x.outcome)
		x.front.met.countMissing(x.outcome)
	}
	if a != nil {
		x.front.met.countAnswer(x.kind, elapsed, a.Coverage.Fraction)
	}
	x.front.opts.Explain.Add(rec)
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

// limit returns the smaller of two limits; 0 means unlimited.
func limit(a, b int) int {
	if a == 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// newRequestID returns 8 random bytes in hex.
func newRequestID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
