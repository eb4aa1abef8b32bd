package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/direct"
	"sycamorekeel.example/sycamorekeel/internal/replica"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// run drives one query.
type run struct {
	engine *Engine
	view   *catalog.View
	req    *Request
	plan   scatter.Plan
	query  *scatter.Query
	usual  time.Duration
	sends  []send
	inbox  inbox
	goneAt time.Time
	// last is the send whose reply came last, nil before any.
	last   *send
	lastAt time.Time
	// unspent is how many extra sends the budget refused.
	unspent int
	// survived says that an upstream has run the request and lives, over that the run has
	// ended. Checks of upstreams read them from elsewhere.
	survived, over atomic.Bool
	// broken says that upstreams have closed their connections under the request.
	broken bool
}

// send is one send of a run.
type send struct {
	id      uint64
	part    int
	call    *direct.Call
	cause   scatter.Cause
	sentAt  time.Time
	reply   direct.Reply
	replied bool
	// withdrawn says that its answer is not waited for any more.
	withdrawn bool
}

// open tells whether the send's answer is waited for.
func (s *send) open() bool { return !s.replied && !s.withdrawn }

// crowdedOut tells whether the upstream refused the send for want of room. One that reports
// free slots refuses for a fault of its own; one that reports nothing is taken to be full.
func (s *send) crowdedOut() bool {
	return s.reply.Result == scatter.Refused && (s.reply.Load == nil || !s.reply.Load.Room())
}

// inbox collects the replies of a run. It never blocks those who put.
type inbox struct {
	mu     sync.Mutex
	got    []numbered
	signal chan struct{}
}

type numbered struct {
	attempt int
	reply   direct.Reply
}

func (b *inbox) put(n numbered) {
	b.mu.Lock()
	b.got = append(b.got, n)
	b.mu.Unlock()
	select {
	case b.signal <- struct{}{}:
	default:
	}
}

func (b *inbox) take() []numbered {
	b.mu.Lock()
	defer b.mu.Unlock()
	got := b.got
	b.got = nil
	return got
}

func (e *Engine) run(v *catalog.View, r *Request) Answer {
	x := e.newRun(v, r)
	defer x.close()
	return x.drive()
}

// newRun plans a query; nothing is sent yet.
func (e *Engine) newRun(v *catalog.View, r *Request) *run {
	x := &run{engine: e, view: v, req: r, plan: e.plan(r), usual: usual(r.Route)}
	x.inbox.signal = make(chan struct{}, 1)
	x.query = scatter.New(x.plan, x)
	e.countRequest(x.plan.Services)
	return x
}

// countRequest counts a request in the budgets of its services.
func (e *Engine) countRequest(services []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range services {
		e.budget(s).Request()
	}
}

// drive steps the query until it has its verdict or the caller is gone.
func (x *run) drive() Answer {
	now := x.engine.now()
	x.goneAt = now.Add(goneEvery)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	x.dispatch(x.query.Start(now))
	for x.query.Verdict() == nil {
		timer.Reset(x.wakeAt().Sub(x.engine.now()))
		select {
		case <-x.inbox.signal:
			x.takeReplies()
		case <-timer.C:
			x.dispatch(x.query.Tick(x.engine.now()))
		}
		if x.callerGone() {
			x.withdraw()
			return Answer{Reason: Gone, Sends: len(x.sends)}
		}
	}
	x.withdraw()
	return x.answer(x.query.Verdict())
}

// wakeAt is when something is due.
func (x *run) wakeAt() time.Time {
	if next := x.query.Next(); next.Before(x.goneAt) {
		return next
	}
	return x.goneAt
}

// callerGone looks now and then whether the caller is still there. Without it,
// upstreams would go on with work whose answer nobody takes.
func (x *run) callerGone() bool {
	now := x.engine.now()
	if now.Before(x.goneAt) {
		return false
	}
	x.goneAt = now.Add(goneEvery)
	return x.req.gone()
}

func (x *run) takeReplies() {
	for _, n := range x.inbox.take() {
		now := x.engine.now()
		s := &x.sends[n.attempt]
		s.reply = n.reply
		s.replied = true
		x.last, x.lastAt = s, now
		x.learn(now, s)
		x.judge(s, now)
		x.dispatch(x.query.Ended(now, n.attempt, n.reply.Result))
		if n.reply.Result == scatter.Answered {
			x.withdrawPart(s.part)
		}
	}
}

// learn notes what a reply shows of its upstream.
func (x *run) learn(now time.Time, s *send) {
	e := x.engine
	e.opts.Metrics.reply(s.reply.Result)
	if s.reply.Result != scatter.Answered {
		x.logFailed(s)
	}
	turn, turned, window := x.note(now, s)
	e.pools.SetWindow(s.call.Upstream, window)
	if turned {
		e.logStateChange(turn)
	}
}

// logFailed writes a line for a send without an answer, with what was asked when the
// upstream may have ended under it.
func (x *run) logFailed(s *send) {
	fields := x.fields(s, zap.Stringer("result", s.reply.Result), zap.String("detail", s.reply.Detail))
	if l := s.reply.Load; l != nil {
		fields = append(fields, zap.Int("running", l.Running), zap.Int("waiting", l.Waiting), zap.Int("slots", l.Slots), zap.Float64("pace", l.Pace))
	}
	if s.reply.Result == scatter.Broken {
		fields = append(fields, zap.Stringer("content", x.req.content()))
	}
	x.engine.opts.Logs.Failures.Info("edge: send failed", fields...)
}

// note gives a reply to what is kept of its upstream, and tells whether that
// counts as something else now, and how many sends to it may be open.
func (x *run) note(now time.Time, s *send) (turn replica.StateChange, turned bool, window int) {
	e := x.engine
	u := s.call.Upstream
	e.mu.Lock()
	defer e.mu.Unlock()
	switch s.reply.Result {
	case scatter.Answered:
		e.replicas.Answered(now, x.req.Route.Name, x.usual, u, s.id, s.reply.Took)
	case scatter.Unreached:
		e.replicas.Unreachable(now, u, s.id)
	case scatter.Expired, scatter.Shut, scatter.NoConnection, scatter.Barred:
		e.replicas.Unsent(u, s.id)
	case scatter.Refused:
		if s.crowdedOut() {
			e.replicas.Refused(now, u, s.id)
		} else {
			e.replicas.Failed(now, u, s.id)
		}
	default:
		e.replicas.Failed(now, u, s.id)
	}
	turn, turned = e.replicas.StateChanged(now, u.ID)
	return turn, turned, e.replicas.Window(u)
}

// fields is what every log line of a send has.
func (x *run) fields(s *send, more ...zap.Field) []zap.Field {
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
	call := &direct.Call{
		Message:  x.req.Message,
		Upstream: s.Upstream,
		Deadline: x.plan.GiveUp,
		AnswerBy: x.plan.AnswerBy,
		Priority: x.req.Route.Priority,
		Extra:    s.Cause != scatter.First,
		Barred:   func() string { return x.barred(s.Upstream) },
		Done:     func(r direct.Reply) { x.inbox.put(numbered{s.Attempt, r}) },
	}
	e.mu.Lock()
	e.sends++
	id := e.sends
	e.replicas.Sent(now, x.req.Route.Name, x.usual, s.Upstream, id, call.Waited)
	e.mu.Unlock()
	x.sends = append(x.sends, send{id: id, part: s.Part, call: call, cause: s.Cause, sentAt: now})
	e.opts.Metrics.sent(s.Cause)
	if s.Cause != scatter.First {
		e.opts.Logs.Failures.Info("edge: sent again", x.fields(&x.sends[s.Attempt])...)
	}
	e.do(call)
}

// withdraw ends the interest in the sends that are still open.
func (x *run) withdraw() {
	for i := range x.sends {
		if s := &x.sends[i]; s.open() {
			x.withdrawSend(s)
		}
	}
}

// withdrawPart ends the other sends of a part that has its answer. Left to run,
// they hold slots of upstreams that are slow as it is, and their answers cross
// between regions for nothing. Each such connection is lost and opened anew.
func (x *run) withdrawPart(part int) {
	for i := range x.sends {
		if s := &x.sends[i]; s.part == part && s.open() {
			x.withdrawSend(s)
		}
	}
}

// withdrawSend ends the interest in a send.
func (x *run) withdrawSend(s *send) {
	e := x.engine
	now := e.now()
	s.withdrawn = true
	s.call.Withdraw()
	e.mu.Lock()
	e.replicas.Abandoned(now, x.req.Route.Name, x.usual, s.call.Upstream, s.id, now.Sub(s.sentAt)-s.call.Waited(now))
	window := e.replicas.Window(s.call.Upstream)
	e.mu.Unlock()
	e.pools.SetWindow(s.call.Upstream, window)
}
