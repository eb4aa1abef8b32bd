package edge

import (
	"hash/fnv"
	"strconv"
	"time"

	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/poison"
	"sycamorekeel.example/sycamorekeel/internal/quarantine"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

const (
	// suspectHeldRetry gives the trial of a suspect time to end.
	suspectHeldRetry = time.Second
	// crashObservation is how long sends of a failed request are observed after its end: several
	// times the time of an answer, and half of the time within which upstreams must stop work
	// that nobody waits for.
	crashObservation = 250 * time.Millisecond
)

// admit decides whether a request may run, given what earlier requests with the same content
// did to upstreams.
func (e *Engine) admit(r *Request) quarantine.Admission {
	if e.poison.Empty() {
		return quarantine.Admission{}
	}
	return e.poison.Admit(e.now, e.randomFloat, r.subject())
}

// subject returns the request in the form that the poison guard takes.
func (r *Request) subject() poison.Request {
	return poison.Request{Content: r.contentFingerprint(), Fields: []zap.Field{
		zap.String("request", r.Message.ID), zap.String("host", r.Host), zap.String("path", r.Path),
	}}
}

// blocked reports whether the request is now known, from this VM or a peer, to crash
// upstreams.
func (e *Engine) blocked(now time.Time, r *Request) bool {
	return !e.poison.Empty() && e.poison.Blocked(now, r.contentFingerprint())
}

// instanceHash returns a short hash that identifies one start of an upstream.
func instanceHash(u *catalog.Upstream) uint32 {
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(u.ID))
	_, _ = h.Write([]byte(strconv.FormatInt(u.StartedAt.UnixNano(), 16)))
	return h.Sum32()
}

// trackCrash records whether the upstream survived the request. If the upstream closed the
// connection without an answer, it checks whether the process has ended; that may be due to
// this request or another.
func (x *run) trackCrash(s *send, now time.Time, subject func() poison.Request) {
	e := x.engine
	switch r := s.reply.Result; {
	case r.Survived():
		if !x.survived.Swap(true) {
			e.poison.Survived(now, subject())
		}
	case (r == scatter.Broken || r == scatter.ConnectionClosed) && !x.survived.Load():
		x.connectionBroken.Store(true)
		// Computed here because the check ends in another goroutine.
		content := subject()
		crash := quarantine.Crash{Instance: instanceHash(s.call.Upstream), ConnectedAt: s.reply.ConnectedAt, SentAt: s.sentAt, EndedAt: now}
		e.checkEnded(s.call.Upstream, func(ended bool) { x.crashChecked(ended, content, crash) })
	}
}

// observeCrashes tracks the replies of sends that were in flight when the run ended. An upstream
// often crashes just after its request has failed because of the crashes before.
func (x *run) observeCrashes(subject poison.Request, observed map[int]send) {
	for len(observed) > 0 {
		<-x.replies.signal
		for _, r := range x.replies.take() {
			s, ok := observed[r.attempt]
			if !ok {
				continue
			}
			delete(observed, r.attempt)
			s.reply = r.reply
			x.trackCrash(&s, x.engine.now(), func() poison.Request { return subject })
		}
	}
}

// crashChecked records a crash if the upstream that closed its connection has ended.
func (x *run) crashChecked(ended bool, subject poison.Request, crash quarantine.Crash) {
	if !ended || x.survived.Load() {
		return
	}
	e := x.engine
	e.poison.Crashed(e.now(), subject, crash)
	if x.finished.Load() {
		e.poison.Unanswered(subject.Content)
	}
}

// close ends the run. If no upstream has survived the request, it tells the guard to inform
// peers.
func (x *run) close() {
	x.finished.Store(true)
	if x.connectionBroken.Load() && !x.survived.Load() {
		x.engine.poison.Unanswered(x.req.contentFingerprint())
	}
}
