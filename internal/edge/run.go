package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/connpool"
	"sycamorekeel.example/sycamorekeel/internal/replica"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// run is the execution of one request.
type run struct {
	engine          *Engine
	view            *catalog.View
	req             *Request
	plan            scatter.Plan
	query           *scatter.Query
	defaultLatency  time.Duration
	sends           []send
	replies         replyQueue
	nextCallerCheck time.Time
	// last is the send whose reply came last; nil before the first reply.
	last   *send
	lastAt time.Time
	// budgetRefusals is how many extra sends the budget refused.
	budgetRefusals int
	// survived says that an upstream has run the request without crashing, finished that the
	// run has ended. Crash checks read both from other goroutines.
	survived, finished atomic.Bool
	// connectionBroken says that an upstream has closed its connection under the request.
	connectionBroken atomic.Bool
}

// send is one attempt to run a part at an upstream.
type send struct {
	id      uint64
	part    int
	call    *connpool.Call
	cause   scatter.Cause
	sentAt  time.Time
	reply   connpool.Reply
	replied bool
	// cancelled says that the run no longer waits for the reply.
	cancelled bool
	// held is how long the send waited because of the limit of its class.
	held time.Duration
}

// open reports whether the run still waits for the send's reply.
func (s *send) open() bool { return !s.replied && !s.cancelled }

// refusedFull reports whether the upstream refused the send because it was full. An upstream
// that reports free slots refuses because of its own failure; one that reports no load is
// assumed to be full.
func (s *send) refusedFull() bool {
	return s.reply.Result == scatter.Refused && (s.reply.Load == nil || !s.reply.Load.HasFreeSlot())
}

// replyQueue collects the replies of a run. put never blocks.
type replyQueue struct {
	mu      sync.Mutex
	pending []attemptReply
	signal  chan struct{}
	// closed says that the bodies of replies are no longer used.
	closed bool
}

type attemptReply struct {
	attempt int
	reply   connpool.Reply
}

func (q *replyQueue) put(r attemptReply) {
	q.mu.Lock()
	q.pending = append(q.pending, r)
	if q.closed {
		r.reply.Body.Release()
	}
	q.mu.Unlock()
	select {
	case q.signal <- struct{}{}:
	default:
	}
}

func (q *replyQueue) take() []attemptReply {
	q.mu.Lock()
	defer q.mu.Unlock()
	pending := q.pending
	q.pending = nil
	return pending
}

// close releases the bodies of the replies that have not been taken, and of those to come.
func (q *replyQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, r := range q.pending {
		r.reply.Body.Release()
	}
}

// releaseBodies gives back the memory of the responses, except the one that the answer forwards.
func (x *run) releaseBodies(a *Answer) {
	x.replies.close()
	for i := range x.sends {
		if r := &x.sends[i].reply; r.Response == nil || r.Response != a.Response {
			r.Body.Release()
		} else {
			a.Memory = r.Body
		}
	}
}

func (e *Engine) run(v *catalog.View, r *Request) Answer {
	x := e.newRun(v, r)
	r.progress.enter(StageBackoff)
	defer x.close()
	a := x.drive()
	a.Hedging = x.query.Hedging()
	a.Held = x.recordHeld()
	x.releaseBodies(&a)
	return a
}

// newRun plans a request and sends nothing.
func (e *Engine) newRun(v *catalog.View, r *Request) *run {
	x := &run{engine: e, view: v, req: r, plan: e.plan(r), defaultLatency: defaultLatency(r.Route)}
	x.replies.signal = make(chan struct{}, 1)
	x.query = scatter.New(x.plan, x)
	e.countRequest(x.plan.Services)
	return x
}

// countRequest counts a request in the retry budgets of its services.
func (e *Engine) countRequest(services []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range services {
		e.budget(s).AddRequest()
	}
}

// drive steps the query until it has a verdict or the caller is gone.
func (x *run) drive() Answer {
	now := x.engine.now()
	x.nextCallerCheck = now.Add(callerCheckInterval)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	stopping := x.engine.stop.begun
	if x.engine.stop.active() {
		stopping = nil
		x.limitByStop()
	}
	x.dispatch(x.query.Start(now))
	for x.query.Outcome() == nil {
		timer.Reset(x.nextWake().Sub(x.engine.now()))
		select {
		case <-x.replies.signal:
			x.takeReplies()
		case <-timer.C:
			// An answer that has arrived counts, also if this step ends the query.
			x.takeReplies()
			x.dispatch(x.query.Tick(x.engine.now()))
			x.dropUnsent()
		case <-stopping:
			stopping = nil
			x.limitByStop()
		}
		if x.callerGone() {
			x.cancelOpen()
			return Answer{Reason: CallerGone, Sends: len(x.sends)}
		}
	}
	x.endOpen()
	return x.answer(x.query.Outcome())
}

// nextWake returns when the query or the caller must be checked next.
func (x *run) nextWake() time.Time {
	if next := x.query.Next(); next.Before(x.nextCallerCheck) {
		return next
	}
	return x.nextCallerCheck
}

// callerGone checks every callerCheckInterval whether the caller is still connected. Without
// the check, upstreams would go on with work whose answer is not used.
func (x *run) callerGone() bool {
	now := x.engine.now()
	if now.Before(x.nextCallerCheck) {
		return false
	}
	x.nextCallerCheck = now.Add(callerCheckInterval)
	return x.req.callerGone()
}

func (x *run) takeReplies() {
	for _, r := range x.replies.take() {
		now := x.engine.now()
		s := &x.sends[r.attempt]
		s.reply = r.reply
		s.replied = true
		s.held = s.call.Held(now)
		x.last, x.lastAt = s, now
		x.recordReply(now, s)
		x.trackCrash(s, now, x.req.subject)
		x.dispatch(x.query.Ended(now, r.attempt, r.reply.Result))
		if r.reply.Result == scatter.Answered {
			x.cancelPart(s.part)
		}
	}
}

// recordReply updates the metrics, the log and the upstream's statistics with a reply.
func (x *run) recordReply(now time.Time, s *send) {
	e := x.engine
	e.opts.Metrics.sendEnded(s.reply.Result)
	if s.reply.Result != scatter.Answered {
		x.logFailed(s)
	}
	change, changed, window := x.updateReplica(now, s)
	e.pools.SetWindow(s.call.Upstream, window)
	x.observeQueue(now, s)
	if changed {
		e.logStateChange(change)
	}
}

// logFailed logs a send without an answer. If the upstream may have ended under it, the line
// includes the fingerprint of the request.
func (x *run) logFailed(s *send) {
	fields := x.logFields(s, zap.Stringer("result", s.reply.Result), zap.String("detail", s.reply.Detail))
	if l := s.reply.Load; l != nil {
		fields = append(fields, zap.Int("running", l.Running), zap.Int("waiting", l.Waiting), zap.Int("slots", l.Slots), zap.Float64("pace", l.Slowdown))
	}
	if s.reply.Result == scatter.Broken {
		fields = append(fields, zap.Stringer("content", x.req.contentFingerprint()))
	}
	x.engine.opts.Logs.Failures.Info("edge: send failed", fields...)
}

// updateReplica updates the statistics of the upstream that replied. It returns the change
// of the upstream's state, if any, and how many sends to the upstream may be open.
func (x *run) updateReplica(now time.Time, s *send) (change replica.StateChange, changed bool, window int) {
	e := x.engine
	u := s.call.Upstream
	e.mu.Lock()
	defer e.mu.Unlock()
	switch s.reply.Result {
	case scatter.Answered:
		e.replicas.Answered(now, x.req.Route.Name, x.defaultLatency, u, s.id, s.reply.Took)
	case scatter.Unreached:
		e.replicas.Unreachable(now, u, s.id)
	case scatter.Expired, scatter.ConnectionClosed, scatter.NoConnection, scatter.Barred:
		e.replicas.Unsent(u, s.id)
	case scatter.Refused:
		if s.refusedFull() {
			e.replicas.Refused(now, u, s.id)
		} else {
			e.replicas.Failed(now, u, s.id)
		}
	default:
		e.replicas.Failed(now, u, s.id)
	}
	change, changed = e.replicas.Reclassify(now, u.ID)
	return change, changed, e.replicas.Window(u)
}

// logFields returns the fields common to all log lines of a send.
func (x *run) logFields(s *send, more ...zap.Field) []zap.Field {
	return append([]zap.Field{
		zap.String("request", x.req.Message.ID),
		zap.String("route", x.req.Route.Name),
		zap.String("upstream", s.call.Upstream.ID),
		zap.String("service", s.call.Upstream.Service),
		zap.String("cause", string(s.cause)),
		zap.Duration("age", x.engine.now().Sub(x.req.Received)),
		zap.Uint64("revision", x.view.Revision),
	}, more...)
}

func (x *run) dispatch(sends []scatter.Send) {
	for _, s := range sends {
		x.send(s)
	}
}

func (x *run) send(s scatter.Send) {
	e := x.engine
	now := e.now()
	call := &connpool.Call{
		Message:  x.req.Message,
		Upstream: s.Upstream,
		Deadline: x.plan.Deadline,
		AnswerBy: x.plan.AnswerBy,
		Class:    x.class(s.Upstream),
		Extra:    s.Cause != scatter.First,
		Barred:   func() string { return x.barred(s.Upstream) },
		Done:     func(r connpool.Reply) { x.replies.put(attemptReply{s.Attempt, r}) },
	}
	e.mu.Lock()
	e.sends++
	id := e.sends
	e.replicas.Sent(now, x.req.Route.Name, x.defaultLatency, s.Upstream, id, call.Waited)
	e.mu.Unlock()
	x.sends = append(x.sends, send{id: id, part: s.Part, call: call, cause: s.Cause, sentAt: now})
	e.opts.Metrics.sent(s.Cause)
	if s.Cause != scatter.First {
		e.opts.Logs.Failures.Info("edge: sent again", x.logFields(&x.sends[s.Attempt])...)
	}
	x.req.progress.addCall(call)
	e.startCall(call)
}

// endOpen ends the sends that are still open, and records those that have never left this VM. If
// upstreams may have crashed under the request, it goes on to observe those in flight: their
// upstreams may be about to crash as well.
func (x *run) endOpen() {
	if !x.connectionBroken.Load() || x.survived.Load() {
		x.cancelOpen()
		return
	}
	observed := map[int]send{}
	until := x.engine.now().Add(crashObservation)
	for i := range x.sends {
		s := &x.sends[i]
		if !s.open() {
			continue
		}
		x.abandon(s)
		if s.call.Expire(until) {
			observed[i] = *s
		}
	}
	if len(observed) > 0 {
		go x.observeCrashes(x.req.subject(), observed)
	}
}

// cancelOpen cancels all sends that are still open. An ended query learns which of them have
// never left this VM.
func (x *run) cancelOpen() {
	for i := range x.sends {
		if s := &x.sends[i]; s.open() && x.cancelSend(s) && x.query.Outcome() != nil {
			x.query.Unsent(i)
		}
	}
}

// cancelPart cancels the other sends of a part that has been answered. Otherwise they would
// hold slots of upstreams that are already slow, and their answers would cross regions
// unused. Each cancelled send costs its connection, which must be opened again.
func (x *run) cancelPart(part int) {
	for i := range x.sends {
		if s := &x.sends[i]; s.part == part && s.open() {
			x.cancelSend(s)
		}
	}
}

// cancelSend cancels one send and returns whether it has certainly never left this VM.
func (x *run) cancelSend(s *send) (unsent bool) {
	x.abandon(s)
	return s.call.Withdraw()
}

// abandon records that the run no longer waits for a send's reply.
func (x *run) abandon(s *send) {
	e := x.engine
	now := e.now()
	s.cancelled = true
	s.held = s.call.Held(now)
	e.mu.Lock()
	e.replicas.Abandoned(now, x.req.Route.Name, x.defaultLatency, s.call.Upstream, s.id, now.Sub(s.sentAt)-s.call.Waited(now))
	window := e.replicas.Window(s.call.Upstream)
	e.mu.Unlock()
	e.pools.SetWindow(s.call.Upstream, window)
	x.observeQueue(now, s)
}
