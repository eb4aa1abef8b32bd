package idempotency_test

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamorekeel.example/sycamorekeel/internal/dispatch"
	"sycamorekeel.example/sycamorekeel/internal/idempotency"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Limits of one run. They are small, so that tables fill up and leases expire
// within it.
const (
	confLife          = 10 * time.Second
	confGrace         = 5 * time.Second
	confMaxOperations = 3
	confAttempts      = 2
	confSteps         = 600
	// recentCount is the number of latest operations or messages that a step
	// draws from.
	recentCount = 6
	// maxFrameAge is how long a frame may be delivered again. An owner
	// remembers ids for the same time.
	maxFrameAge = 30 * time.Second
)

// A payment must not run twice, nor run after its caller was answered "not
// run". The test applies random sequences of the events that spec/once.pml
// allows to the real table, ledger and queue: resends, delayed and repeated
// frames, cancellations that arrive first, two owners, crashes, and clock
// readings from before a pause. It fails if the code misses a rule of the
// specification.
func TestConformsToSpecification(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newProtocol(rt)
		steps := []func(*rapid.T){
			s.issue, s.sendCopy, s.sendCopyAfterPause, s.deliver, s.deliver, s.cancel, s.start, s.start,
			s.runUpstream, s.runUpstream, s.deliverReply, s.deliverReply, s.timeOut, s.crash, s.advanceTime, s.sendOtherRequests,
		}
		for range confSteps {
			steps[rapid.IntRange(0, len(steps)-1).Draw(rt, "step")](rt)
		}
	})
}

// protocolModel is one home VM, two owners, the upstream and every message ever
// sent.
type protocolModel struct {
	now           time.Duration
	incarnation   uint64
	home          *idempotency.Table[callerOutcome]
	operations    []*operation
	owners        [2]*ownerProcess
	attempts      []*attempt
	replies       []ownerReply
	otherRequests uint64
}

// callerOutcome is the answer given to the caller.
type callerOutcome string

func (o callerOutcome) Size() int { return len(o) }

const (
	outcomeRan     callerOutcome = "ran"
	outcomeNotRun  callerOutcome = "not run"
	outcomeUnknown callerOutcome = "unknown"
)

type operation struct {
	key             *idempotency.Key
	homeIncarnation uint64
	open            bool
	attempt         *attempt
	attempts        int
	executions      int
	reportedNotRun  bool
}

type attempt struct {
	op               *operation
	id               uint64
	owner            int
	ownerIncarnation uint64
	sent             time.Duration
	inFlight         bool
	// unrepeatable is set when the owner had no room to remember the frame. The
	// only protection against a second delivery is then that streams do not
	// repeat frames.
	unrepeatable bool
}

type ownerProcess struct {
	incarnation uint64
	ledger      *dispatch.Ledger
	queue       *dispatch.Queue
}

type ownerReply struct {
	attempt *attempt
	result  pb.Result
}

func newProtocol(rt *rapid.T) *protocolModel {
	s := &protocolModel{}
	s.restartHome(rt)
	for i := range s.owners {
		s.owners[i] = &ownerProcess{}
		s.owners[i].restart()
	}
	return s
}

func (o *ownerProcess) restart() {
	o.incarnation++
	o.ledger = dispatch.NewLedger(dispatch.LedgerOptions{
		Tombstones: 4, TombstoneAge: 5 * time.Second, Idempotent: 4, NonIdempotent: 16, Age: maxFrameAge,
	})
	o.queue = dispatch.New(dispatch.Options{Slots: 1, MaxQueue: 2})
}

func (s *protocolModel) timeAt(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

func (s *protocolModel) issue(rt *rapid.T) {
	lease := s.home.Issue(s.now, "office")
	s.operations = append(s.operations, &operation{key: &idempotency.Key{Lease: *lease, Counter: 1}, homeIncarnation: s.incarnation})
}

// drawRecent draws an index among the last recentCount of n.
func drawRecent(rt *rapid.T, n int, label string) int {
	return rapid.IntRange(max(0, n-recentCount), n-1).Draw(rt, label)
}

func (s *protocolModel) operation(rt *rapid.T) *operation {
	if len(s.operations) == 0 {
		s.issue(rt)
	}
	return s.operations[drawRecent(rt, len(s.operations), "operation")]
}

func (s *protocolModel) sendCopy(rt *rapid.T) { s.begin(rt, s.operation(rt), s.now) }

// sendCopyAfterPause begins with a clock reading from before a pause.
func (s *protocolModel) sendCopyAfterPause(rt *rapid.T) {
	op := s.operation(rt)
	ago := rapid.SampledFrom([]time.Duration{time.Second, confLife, 2 * confLife}).Draw(rt, "ago")
	s.begin(rt, op, max(0, s.now-ago))
}

func (s *protocolModel) begin(rt *rapid.T, op *operation, reading time.Duration) {
	if !s.home.IssuedBySelf(&op.key.Lease) {
		return // answered unknown
	}
	d := s.home.Begin(reading, "office", op.key, idempotency.Digest{}, confMaxOperations)
	switch d.Verdict {
	case idempotency.New:
		op.open = true
		op.attempts = 0
		if rapid.IntRange(0, 4).Draw(rt, "admission") == 0 {
			s.finish(rt, op, outcomeNotRun)
			return
		}
		s.dispatch(rt, op)
	case idempotency.Decided:
		s.answerCaller(rt, op, d.Outcome)
	case idempotency.Full:
		s.home.Refuse(s.now, "office", op.key, outcomeNotRun)
		s.answerCaller(rt, op, outcomeNotRun)
	case idempotency.Expired, idempotency.Closed:
		s.answerCaller(rt, op, outcomeNotRun)
	case idempotency.Foreign, idempotency.Mismatch:
		rt.Fatalf("verdict %v on the home's own key", d.Verdict)
	}
}

// answerCaller answers a caller and checks that the answer is true.
func (s *protocolModel) answerCaller(rt *rapid.T, op *operation, what callerOutcome) {
	switch {
	case what == outcomeNotRun && op.executions > 0:
		rt.Fatalf("%s: reported as not run, but it ran", op.key)
	case what == outcomeRan && op.executions != 1:
		rt.Fatalf("%s: reported as run, but it did not run exactly once", op.key)
	}
	op.reportedNotRun = op.reportedNotRun || what == outcomeNotRun
}

func (s *protocolModel) finish(rt *rapid.T, op *operation, what callerOutcome) {
	op.open = false
	s.home.Finish(s.now, "office", op.key, what, what != outcomeNotRun)
	s.answerCaller(rt, op, what)
}

func (s *protocolModel) dispatch(rt *rapid.T, op *operation) {
	owner := rapid.IntRange(0, 1).Draw(rt, "owner")
	op.attempts++
	op.attempt = &attempt{op: op, id: uint64(len(s.attempts) + 1), owner: owner, ownerIncarnation: s.owners[owner].incarnation, sent: s.now}
	s.attempts = append(s.attempts, op.attempt)
}

func (s *protocolModel) anyAttempt(rt *rapid.T) *attempt {
	if len(s.attempts) == 0 {
		return nil
	}
	return s.attempts[drawRecent(rt, len(s.attempts), "attempt")]
}

func (a *attempt) key() dispatch.Key {
	return dispatch.Key{VM: "home", Incarnation: a.op.homeIncarnation, ID: a.id}
}

// deliver delivers an attempt's frame to its owner, for the first time or
// again. Frames of a stream are lost when its process ends.
func (s *protocolModel) deliver(rt *rapid.T) {
	a := s.anyAttempt(rt)
	if a == nil {
		return
	}
	o := s.owners[a.owner]
	if o.incarnation != a.ownerIncarnation || a.unrepeatable || s.now-a.sent >= maxFrameAge {
		return
	}
	now := s.timeAt(s.now)
	switch o.ledger.Arrive(now, a.key(), false) {
	case dispatch.Fresh:
	case dispatch.Full:
		a.unrepeatable = true
		s.sendReply(a, pb.Result_QUEUE_FULL)
		return
	case dispatch.Cancelled:
		s.sendReply(a, pb.Result_CANCELLED)
		return
	default:
		return
	}
	it := &dispatch.Item{Key: a.key(), Customer: "office", Arrived: now, Deadline: now.Add(4 * time.Second), Request: &pb.SubRequest{Id: a.id}}
	refused, displaced := o.queue.Push(now, it)
	if displaced != nil {
		s.replyRefusal(o, displaced)
	}
	if refused != nil {
		o.ledger.Close(a.key())
		s.sendReply(a, refused.Result)
	}
}

func (s *protocolModel) replyRefusal(o *ownerProcess, r *dispatch.Refused) {
	o.ledger.Close(r.Item.Key)
	s.sendReply(s.attempts[r.Item.Key.ID-1], r.Refusal.Result)
}

func (s *protocolModel) sendReply(a *attempt, result pb.Result) {
	s.replies = append(s.replies, ownerReply{a, result})
}

// cancel delivers a cancellation to either owner, including one that never
// received the attempt or has restarted since.
func (s *protocolModel) cancel(rt *rapid.T) {
	a := s.anyAttempt(rt)
	if a == nil {
		return
	}
	o := s.owners[rapid.IntRange(0, 1).Draw(rt, "owner")]
	if !o.ledger.Cancel(s.timeAt(s.now), a.key()) {
		return
	}
	if _, ok := o.queue.Cancel(a.key()); ok {
		o.ledger.Close(a.key())
		s.sendReply(a, pb.Result_CANCELLED)
	}
}

func (s *protocolModel) start(rt *rapid.T) {
	o := s.owners[rapid.IntRange(0, 1).Draw(rt, "owner")]
	next, late := o.queue.Pop(s.timeAt(s.now))
	for i := range late {
		s.replyRefusal(o, &late[i])
	}
	if next != nil {
		s.attempts[next.Key.ID-1].inFlight = true
	}
}

// runUpstream executes or sheds a request that was sent, even if the owner has
// restarted in the meantime.
func (s *protocolModel) runUpstream(rt *rapid.T) {
	a := s.anyAttempt(rt)
	if a == nil || !a.inFlight {
		return
	}
	a.inFlight = false
	result := rapid.SampledFrom([]pb.Result{pb.Result_OK, pb.Result_SHED, pb.Result_UNKNOWN}).Draw(rt, "result")
	if result != pb.Result_SHED {
		s.execute(rt, a.op)
	}
	o := s.owners[a.owner]
	if o.incarnation != a.ownerIncarnation {
		return
	}
	o.queue.Release()
	o.ledger.Close(a.key())
	s.sendReply(a, result)
}

func (s *protocolModel) execute(rt *rapid.T, op *operation) {
	op.executions++
	if op.executions > 1 {
		rt.Fatalf("%s: ran twice", op.key)
	}
	if op.reportedNotRun {
		rt.Fatalf("%s: ran after it was reported as not run", op.key)
	}
}

// deliverReply delivers any earlier reply to the home VM, for the first time or
// again.
func (s *protocolModel) deliverReply(rt *rapid.T) {
	if len(s.replies) == 0 {
		return
	}
	r := s.replies[drawRecent(rt, len(s.replies), "reply")]
	op := r.attempt.op
	if op.homeIncarnation != s.incarnation || !op.open || op.attempt != r.attempt {
		return
	}
	switch {
	case r.result == pb.Result_OK:
		s.finish(rt, op, outcomeRan)
	case r.result == pb.Result_UNKNOWN:
		s.finish(rt, op, outcomeUnknown)
	case op.attempts < confAttempts:
		s.dispatch(rt, op)
	default:
		s.finish(rt, op, outcomeNotRun)
	}
}

func (s *protocolModel) timeOut(rt *rapid.T) {
	op := s.operation(rt)
	if !op.open {
		return
	}
	s.finish(rt, op, outcomeUnknown)
}

func (s *protocolModel) restartHome(*rapid.T) {
	s.incarnation++
	s.home = idempotency.NewTable[callerOutcome](idempotency.Options{
		VM: "home", Incarnation: s.incarnation, Secret: bytes.Repeat([]byte{byte(s.incarnation)}, idempotency.KeySize),
		Life: confLife, Grace: confGrace, MaxRefused: 2,
	})
	for _, op := range s.operations {
		op.open = false
	}
}

// crash rarely restarts one process.
func (s *protocolModel) crash(rt *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(rt, "process") {
	case 0:
		s.restartHome(rt)
	case 1, 2:
		s.owners[rapid.IntRange(0, 1).Draw(rt, "owner")].restart()
	}
}

func (s *protocolModel) advanceTime(rt *rapid.T) {
	s.now += rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 6 * time.Second, confLife + confGrace}).Draw(rt, "time")
}

// sendOtherRequests delivers idempotent requests of other customers to both
// owners.
func (s *protocolModel) sendOtherRequests(*rapid.T) {
	for _, o := range s.owners {
		for range 4 {
			s.otherRequests++
			key := dispatch.Key{VM: "another", Incarnation: 1, ID: s.otherRequests}
			o.ledger.Arrive(s.timeAt(s.now), key, true)
			o.ledger.Close(key)
		}
	}
}
