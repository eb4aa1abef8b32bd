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

// heldRetry lets the trial of a suspect end.
const heldRetry = time.Second

// admit tells how a request may be run, by what is known of others that asked the same.
func (e *Engine) admit(r *Request) quarantine.Admission {
	if e.poison.Empty() {
		return quarantine.Admission{}
	}
	return e.poison.Admit(e.now, e.random, r.subject())
}

// subject is the request in words to the guard.
func (r *Request) subject() poison.Subject {
	return poison.Subject{Content: r.content(), Fields: []zap.Field{
		zap.String("request", r.Message.ID), zap.String("host", r.Host), zap.String("path", r.Path),
	}}
}

// blocked tells whether it has become known meanwhile, here or at a peer, that a request
// crashes upstreams.
func (e *Engine) blocked(now time.Time, r *Request) bool {
	return !e.poison.Empty() && e.poison.Blocked(now, r.content())
}

// startOf names an upstream and its start, in a few bytes.
func startOf(u *catalog.Upstream) uint32 {
	h := fnv.New32a()
	// A hash never fails to write.
	_, _ = h.Write([]byte(u.ID))
	_, _ = h.Write([]byte(strconv.FormatInt(u.Born.UnixNano(), 16)))
	return h.Sum32()
}

// judge takes in what a reply shows of the request itself. An upstream that closed its
// connection under it is looked at: it may have ended, of this request or another.
func (x *run) judge(s *send, now time.Time) {
	e := x.engine
	switch r := s.reply.Result; {
	case r.Survived():
		if !x.survived.Swap(true) {
			e.poison.Survived(now, x.req.subject())
		}
	case (r == scatter.Broken || r == scatter.Shut) && !x.survived.Load():
		x.broken = true
		// Worked out here, as the check ends in another goroutine.
		subject := x.req.subject()
		crash := quarantine.Crash{Start: startOf(s.call.Upstream), SentAt: s.sentAt, EndedAt: now}
		e.check(s.call.Upstream, func(ended bool) { x.checked(ended, subject, crash) })
	}
}

// checked takes in whether an upstream that closed its connection has ended.
func (x *run) checked(ended bool, subject poison.Subject, crash quarantine.Crash) {
	if !ended || x.survived.Load() {
		return
	}
	e := x.engine
	e.poison.Crashed(e.now(), subject, crash)
	if x.over.Load() {
		e.poison.Unanswered(subject.Content)
	}
}

// close ends the run: what is known of a request that no upstream has survived is told to
// peers.
func (x *run) close() {
	x.over.Store(true)
	if x.broken && !x.survived.Load() {
		x.engine.poison.Unanswered(x.req.content())
	}
}
