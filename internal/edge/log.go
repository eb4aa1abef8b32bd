package edge

import (
	"hash/fnv"
	"math"
	"time"

	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/replica"
)

// sampleEvery is how many requests that went well there are for each that is
// logged: a few lines a second at the usual load, to compare failures with.
const sampleEvery = 64

// logEnd writes a line for a request that did not end as its contract promises
// (refused, failed, late, or with shards left out) and for a sample of the others.
func (e *Engine) logEnd(r *Request, a *Answer) {
	late := r.Route != nil && r.Route.Objective > 0 && a.Took > r.Route.Objective
	log := e.opts.Logs.Failures
	if a.Reason == "" && !late && a.Missing == 0 {
		if !sampled(r.Message.ID) {
			return
		}
		log = e.opts.Logs.Samples
	}
	fields := make([]zap.Field, 0, 25)
	fields = append(fields,
		zap.String("request", r.Message.ID),
		zap.String("reason", string(a.Reason)),
		zap.Bool("late", late),
		zap.Bool("not_run", a.Reason != "" && a.NotRun),
		zap.Int("sends", a.Sends),
		zap.Int("missing", a.Missing),
		zap.Int("budget_refusals", a.Unspent),
		zap.Duration("age", a.Took),
		zap.Int64("in_flight", e.inFlight.Load()),
		zap.Duration("retry_after", a.RetryAfter),
	)
	if a.Slowest != "" {
		fields = append(fields, zap.String("slowest_upstream", a.Slowest), zap.Duration("slowest_after", a.SlowestAfter))
	}
	if a.Sends > 0 {
		fields = append(fields, a.Stages.fields()...)
	}
	if a.Broken > 0 {
		fields = append(fields, zap.Int("broken", a.Broken), zap.Int("answered", a.Replied), zap.Stringer("content", r.content()))
	}
	if r.Route != nil {
		fields = append(fields, zap.String("route", r.Route.Name), zap.Duration("objective", r.Route.Objective))
		if r.Route.Homes.Bound() {
			fields = append(fields, zap.Strings("homes", r.Route.Homes.Regions()))
		}
	} else {
		fields = append(fields, zap.String("host", r.Host), zap.String("path", r.Path))
	}
	if v := e.view.Load(); v != nil {
		fields = append(fields, zap.Uint64("revision", v.Revision), zap.Duration("view_age", e.opts.ViewAge()))
	}
	log.Info(logring.RequestEnded, fields...)
}

// sampled picks requests by their id, so that every VM that sees one logs it.
func sampled(id string) bool {
	h := fnv.New32a()
	// A hash never fails to write.
	_, _ = h.Write([]byte(id))
	return h.Sum32()%sampleEvery == 0
}

func (s *Stages) fields() []zap.Field {
	return []zap.Field{
		zap.Duration("plan", s.Plan.Round(time.Microsecond)),
		zap.Duration("resend", s.Resend.Round(time.Microsecond)),
		zap.Duration("connect", s.Connect.Round(time.Microsecond)),
		zap.Duration("upstream", s.Upstream.Round(time.Microsecond)),
		zap.Duration("finish", s.Finish.Round(time.Microsecond)),
	}
}

// logStateChange writes a line when an upstream counts as something else than before.
func (e *Engine) logStateChange(t replica.StateChange) {
	fields := []zap.Field{
		zap.String("upstream", t.Upstream),
		zap.String("service", e.serviceOf(t.Upstream)),
		zap.Stringer("was", t.Was),
		zap.Stringer("is", t.Is),
		zap.Float64("slowness", rounded(t.Slowness)),
		zap.Float64("failures", rounded(t.Failures)),
		zap.Int("open", t.Open),
	}
	if v := e.view.Load(); v != nil {
		fields = append(fields, zap.Uint64("revision", v.Revision))
	}
	e.opts.Logs.Changes.Info("upstream: state", fields...)
}

// rounded is a number with two places, as much as a reader of logs can use.
func rounded(x float64) float64 { return math.Round(100*x) / 100 }
