package edge

import (
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/routing"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
	"sycamorekeel.example/sycamorekeel/internal/topk"
)

// answer turns the verdict into what the caller gets.
func (x *run) answer(v *scatter.Verdict) Answer {
	a := Answer{Reason: Reason(v.Reason), NotRun: v.NotRun, Sends: len(x.sends), Unspent: x.unspent}
	a.Crowded = x.crowdedParts()
	a.Broken, a.Replied = x.count(scatter.Broken), x.count(scatter.Answered)
	if x.last != nil {
		a.Slowest = x.last.call.Upstream.ID
		a.SlowestAfter = x.lastAt.Sub(x.req.Received)
		a.Stages = stagesOf(x.req, &x.sends[0], x.last, x.lastAt)
	}
	switch {
	case v.Reason != scatter.None:
		x.fail(&a, v)
	case x.req.Route.FanOut():
		x.merge(&a, v)
	default:
		a.Response = x.sends[v.Parts[0]].reply.Response
	}
	return a
}

// crowdedParts is how many parts an upstream refused for want of room. A wait for a
// connection does not count: after a restart one VM may be ready before the others,
// with few connections to upstreams that idle.
func (x *run) crowdedParts() int {
	crowded := map[int]bool{}
	for i := range x.sends {
		if s := &x.sends[i]; s.replied && s.crowdedOut() {
			crowded[s.part] = true
		}
	}
	return len(crowded)
}

// count is how many sends ended with a result.
func (x *run) count(r scatter.Result) int {
	n := 0
	for i := range x.sends {
		if s := &x.sends[i]; s.replied && s.reply.Result == r {
			n++
		}
	}
	return n
}

// fail gives a plain request the failure that its upstream reported, and tells
// when to come back after work that has not run.
func (x *run) fail(a *Answer, v *scatter.Verdict) {
	if !x.req.Route.FanOut() && v.Failure >= 0 {
		a.Response = x.sends[v.Failure].reply.Response
	}
	if v.NotRun {
		a.RetryAfter = retryAfter(v.Reason)
	}
	if v.Reason == scatter.NoUpstream {
		x.explainNoUpstream(a)
	}
}

// explainNoUpstream tells what keeps the upstreams of a request from it, and when that may
// have changed.
func (x *run) explainNoUpstream(a *Answer) {
	v := x.engine.view.Load()
	homes := x.homes(v)
	for part, service := range x.plan.Services {
		if len(x.candidates(part)) > 0 {
			continue
		}
		atHome := x.engine.atHome(v.Services[service], homes)
		switch {
		case len(atHome) > 0:
			a.Reason = ColdUpstreams
			a.RetryAfter = x.engine.warmIn(atHome)
			return
		case x.engine.evacuated(v, service, homes):
			a.Reason = Evacuated
			return
		case len(v.Services[service]) > 0:
			a.Reason = NoUpstreamAtHome
			return
		}
	}
}

// evacuated tells whether upstreams of a service that are in the homes would take work, were
// their data centre not evacuated.
func (e *Engine) evacuated(v *catalog.View, service string, homes routing.Homes) bool {
	if len(v.Evacuated) == 0 {
		return false
	}
	for _, u := range v.Upstreams {
		if u.Service == service && !u.Leaving && v.Evacuated[u.DataCentre] && homes.Allow(e.regionOf(u)) {
			return true
		}
	}
	return false
}

func (x *run) merge(a *Answer, v *scatter.Verdict) {
	var parts [][]byte
	for i, n := range v.Parts {
		if n < 0 {
			a.Missing++
			x.logMissing(i)
			continue
		}
		reply := &x.sends[n].reply
		parts = append(parts, reply.Response.Body())
		a.Proofs = append(a.Proofs, reply.Proof)
	}
	a.Body = topk.Merge(parts, x.req.Route.TopK)
}

// logMissing tells of a shard that the answer leaves out, with the upstreams that
// were asked and have not answered.
func (x *run) logMissing(part int) {
	var waited []string
	for i := range x.sends {
		if s := &x.sends[i]; s.part == part && !s.replied {
			waited = append(waited, s.call.Upstream.ID)
		}
	}
	x.engine.opts.Logs.Failures.Info("edge: part left out",
		zap.String("request", x.req.Message.ID),
		zap.String("route", x.req.Route.Name),
		zap.String("service", x.plan.Services[part]),
		zap.Strings("waited_for", waited),
		zap.Duration("age", x.engine.now().Sub(x.req.Received)),
		zap.Uint64("revision", x.view.Revision))
}
