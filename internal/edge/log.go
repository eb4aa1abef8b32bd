package edge

import (
	"hash/fnv"
	"math"
	"time"

	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/replica"
)

// sampleInterval is the number of successful requests per logged one. At the usual load that
// is a few lines a second, to compare failures with.
const sampleInterval = 64

// logRequestEnd logs every request that was refused, failed, was late or left shards out,
// and a sample of the others.
func (e *Engine) logRequestEnd(r *Request, a *Answer) {
	late := r.Route != nil && r.Route.Objective > 0 && a.Elapsed > r.Route.Objective
	log := e.opts.Logs.Failures
	if a.Reason == "" && !late && a.Missing == 0 {
		if !sampled(r.Message.ID) {
			return
		}
		log = e.opts.Logs.Samples
	}
	fields := make([]zap.Field, 0, 27)
	fields = append(fields,
		zap.String("request", r.Message.ID),
		zap.String("reason", string(a.Reason)),
		zap.Bool("late", late),
		zap.Bool("not_run", a.Reason != "" && a.NotRun),
		zap.Int("sends", a.Sends),
		zap.Int("missing", a.Missing),
		zap.Int("budget_refusals", a.BudgetRefusals),
		zap.Duration("age", a.Elapsed),
		zap.Int64("in_flight", e.inFlight.Load()),
		zap.Duration("retry_after", a.RetryAfter),
	)
	if a.SlowestUpstream != "" {
		fields = append(fields, zap.String("slowest_upstream", a.SlowestUpstream), zap.Duration("slowest_after", a.SlowestAfter))
	}
	if a.Sends > 0 {
		fields = append(fields, a.Stages.logFields()...)
	}
	if a.Held > 0 {
		fields = append(fields, zap.Duration("held", a.Held.Round(time.Microsecond)))
	}
	if a.Hedging.Made > 0 {
		fields = append(fields, zap.Int("hedges", a.Hedging.Made))
	}
	if forgone := a.Hedging.ForgoneString(); forgone != "" {
		fields = append(fields, zap.String("forgone", forgone))
	}
	if a.BrokenSends > 0 {
		fields = append(fields, zap.Int("broken", a.BrokenSends), zap.Int("answered", a.AnsweredSends), zap.Stringer("content", r.contentFingerprint()))
	}
	if r.Route != nil {
		fields = append(fields, zap.String("route", r.Route.Name), zap.Duration("objective", r.Route.Objective))
		if r.Route.FanOut() {
			fields = append(fields, zap.Duration("queued", r.queued.Round(time.Microsecond)), zap.Bool("returning", r.returning))
		}
		if r.Route.Homes.Restricted() {
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

// sampled selects requests by their id, so that every VM selects the same ones.
func sampled(id string) bool {
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(id))
	return h.Sum32()%sampleInterval == 0
}

func (s *Stages) logFields() []zap.Field {
	return []zap.Field{
		zap.Duration("plan", s.Plan.Round(time.Microsecond)),
		zap.Duration("resend", s.Resend.Round(time.Microsecond)),
		zap.Duration("connect", s.Connect.Round(time.Microsecond)),
		zap.Duration("upstream", s.Upstream.Round(time.Microsecond)),
		zap.Duration("finish", s.Finish.Round(time.Microsecond)),
	}
}

// logStateChange logs a change of an upstream's state.
func (e *Engine) logStateChange(c replica.StateChange) {
	fields := []zap.Field{
		zap.String("upstream", c.Upstream),
		zap.String("service", e.serviceOf(c.Upstream)),
		zap.Stringer("was", c.Was),
		zap.Stringer("is", c.Is),
		zap.Float64("slowness", roundToHundredths(c.Slowness)),
		zap.Float64("failures", roundToHundredths(c.Failures)),
		zap.Int("open", c.Open),
	}
	if v := e.view.Load(); v != nil {
		fields = append(fields, zap.Uint64("revision", v.Revision))
	}
	e.opts.Logs.Changes.Info("upstream: state", fields...)
}

// roundToHundredths rounds x to two decimal places.
func roundToHundredths(x float64) float64 { return math.Round(100*x) / 100 }
