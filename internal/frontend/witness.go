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

// heldRetry lets the trial of a suspect end.
const heldRetry = time.Second

// witness tells the guard what becomes of upstreams under one request. It implements
// query.Witness.
type witness struct {
	guard   *poison.Guard
	subject func() poison.Subject
	// trial says that the request is a suspect.
	trial bool
	// ended says that an upstream has ended under it, survived that one has not.
	ended, survived atomic.Bool
}

// witness is the request's, or why the request is not run: upstreams crash under what is
// asked, or others are trying it.
func (w *walk) witness() (*witness, *refusal.Error) {
	out := &witness{guard: w.front.opts.Poison, subject: w.subject}
	if out.guard.Empty() {
		return out, nil
	}
	now := w.front.opts.Now
	switch a := out.guard.Admit(now, rand.Float64, w.subject()); {
	case a.Standing == quarantine.Blocked:
		return nil, refusal.New(refusal.PoisonRequest, "upstreams crash under this request").After(a.Until.Sub(now()))
	case a.Held:
		return nil, refusal.New(refusal.SuspectHeld, "upstreams ended under this request, and others are trying it").After(heldRetry)
	default:
		out.trial = a.Standing == quarantine.Suspect
		return out, nil
	}
}

// subject is the request in words to the guard.
func (w *walk) subject() poison.Subject {
	return poison.Subject{
		Content: fingerprint.Of("query", w.kind.Customer, w.kind.Name, w.req.Body),
		Fields:  []zap.Field{zap.String("request", w.id), zap.String("customer", w.kind.Customer), zap.String("kind", w.kind.Name)},
	}
}

// Ended implements query.Witness.
func (w *witness) Ended(u *contract.Upstream, sentAt, endedAt time.Time) {
	w.ended.Store(true)
	if w.survived.Load() {
		return
	}
	w.guard.Crashed(endedAt, w.subject(), quarantine.Crash{Start: startOf(u), SentAt: sentAt, EndedAt: endedAt})
}

// Survived implements query.Witness.
func (w *witness) Survived(now time.Time) {
	if w.survived.Swap(true) {
		return
	}
	w.guard.Survived(now, w.subject())
}

// Blocked implements query.Witness.
func (w *witness) Blocked(now time.Time) bool {
	return !w.guard.Empty() && w.guard.Blocked(now, w.subject().Content)
}

// close ends the request: what is known of one that no upstream has survived is told to
// peers.
func (w *witness) close() {
	if w.ended.Load() && !w.survived.Load() {
		w.guard.Unanswered(w.subject().Content)
	}
}

// startOf names an upstream in a few bytes. Here processes do not tell their starts.
func startOf(u *contract.Upstream) uint32 {
	h := fnv.New32a()
	// A hash never fails to write.
	_, _ = h.Write([]byte(u.ID))
	return h.Sum32()
}
