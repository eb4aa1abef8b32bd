package edge

import "go.uber.org/zap"

// logEnd writes a line for a request that did not end as its contract promises:
// refused, failed, late, or with shards left out.
func (e *Engine) logEnd(r *Request, a *Answer) {
	late := r.Route != nil && r.Route.Objective > 0 && a.Took > r.Route.Objective
	if a.Reason == "" && !late && a.Missing == 0 {
		return
	}
	fields := []zap.Field{
		zap.String("request", r.Message.ID),
		zap.String("reason", string(a.Reason)),
		zap.Bool("late", late),
		zap.Bool("not_run", a.Reason != "" && a.NotRun),
		zap.Int("sends", a.Sends),
		zap.Int("missing", a.Missing),
		zap.Duration("age", a.Took),
		zap.Int64("in_flight", e.inFlight.Load()),
		zap.Duration("retry_after", a.RetryAfter),
	}
	if a.Slowest != "" {
		fields = append(fields, zap.String("slowest_upstream", a.Slowest), zap.Duration("slowest_after", a.SlowestAfter))
	}
	if r.Route != nil {
		fields = append(fields, zap.String("route", r.Route.Name), zap.Duration("objective", r.Route.Objective))
	} else {
		fields = append(fields, zap.String("host", r.Host), zap.String("path", r.Path))
	}
	if v := e.view.Load(); v != nil {
		fields = append(fields, zap.Uint64("revision", v.Revision), zap.Duration("view_age", e.opts.ViewAge()))
	}
	e.opts.Log.Info("edge: request ended", fields...)
}
