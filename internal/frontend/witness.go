package frontend

import (
	"hash/fnv"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/fingerprint"
	"sycamorekeel.example/sycamorekeel/internal/poison"
	"sycamorekeel.example/sycamorekeel/internal/quarantine"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
)

// heldRetry is the retry delay of a held request, long enough for the trial of a
// suspect to end.
const heldRetry = time.Second

// crashGuard reports to the guard whether upstreams crash while they run one request.
// It implements query.CrashGuard.
type crashGuard struct {
	guard   *poison.Guard
	subject func() poison.Request
	// trial is set if the request is suspected of crashing upstreams.
	trial bool
	// ended is set if an upstream ended while running the request, survived if one
	// completed it.
	ended, survived atomic.Bool
}

// crashGuard returns the request's witness. It refuses a request that is known to crash
// upstreams, and a suspect request while other copies are on trial.
func (x *execution) witness() (*crashGuard, *refusal.Error) {
	out := &crashGuard{guard: x.front.opts.Poison, subject: x.subject}
	if out.guard.Empty() {
		return out, nil
	}
	now := x.front.opts.Now
	switch a := out.guard.Admit(now, rand.Float64, x.subject()); {
	case a.Standing == quarantine.Blocked:
		return nil, refusal.New(refusal.PoisonRequest, "upstreams crash under this request").WithRetryAfter(a.Until.Sub(now()))
	case a.Held:
		return nil, refusal.New(refusal.SuspectHeld, "upstreams ended under this request, and others are trying it").WithRetryAfter(heldRetry)
	default:
		out.trial = a.Standing == quarantine.Suspect
		return out, nil
	}
}

// subject describes the request to the guard.
func (x *execution) subject() poison.Request {
	return poison.Request{
		Content: fingerprint.Of("query", x.kind.Customer, x.kind.Name, x.req.Body),
		Fields:  []zap.Field{zap.String("request", x.id), zap.String("customer", x.kind.Customer), zap.String("kind", x.kind.Name)},
	}
}

// RecordCrash implements query.CrashGuard.
func (w *crashGuard) RecordCrash(u *contract.Upstream, sentAt, endedAt time.Time) {
	w.ended.Store(true)
	if w.survived.Load() {
		return
	}
	w.guard.Crashed(endedAt, w.subject(), quarantine.Crash{Instance: upstreamHash(u), SentAt: sentAt, EndedAt: endedAt})
}

// RecordSurvival implements query.CrashGuard.
func (w *crashGuard) RecordSurvival(now time.Time) {
	if w.survived.Swap(true) {
		return
	}
	w.guard.Survived(now, w.subject())
}

// Blocked implements query.CrashGuard.
func (w *crashGuard) Blocked(now time.Time) bool {
	return !w.guard.Empty() && w.guard.Blocked(now, w.subject().Content)
}

// close ends the request. If an upstream ended and none completed the request, the
// guard shares its record with peers.
func (w *crashGuard) close() {
	if w.ended.Load() && !w.survived.Load() {
		w.guard.Unanswered(w.subject().Content)
	}
}

// upstreamHash identifies an upstream by a hash of its ID. The ID takes the place of a
// process start, which upstreams do not report here.
func upstreamHash(u *contract.Upstream) uint32 {
	h := fnv.New32a()
	// Write on a hash never returns an error.
	_, _ = h.Write([]byte(u.ID))
	return h.Sum32()
}
