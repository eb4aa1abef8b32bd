package edge

import (
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/congestion"
	"sycamorekeel.example/sycamorekeel/internal/routing"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
	"sycamorekeel.example/sycamorekeel/internal/topk"
)

// answer converts the verdict of a query to the answer for the caller.
func (x *run) answer(v *scatter.Outcome) Answer {
	a := Answer{Reason: Reason(v.Reason), NotRun: v.NotRun, Sends: len(x.sends), BudgetRefusals: x.budgetRefusals}
	a.CongestedParts, a.HeldUpParts = x.congestedParts(), x.heldUpParts()
	a.BrokenSends, a.AnsweredSends = x.countResults(scatter.Broken), x.countResults(scatter.Answered)
	if x.last != nil {
		a.SlowestUpstream = x.last.call.Upstream.ID
		a.SlowestAfter = x.lastAt.Sub(x.req.Received)
		a.Stages = stagesOf(x.req, &x.sends[0], x.last, x.lastAt)
	}
	switch {
	case v.Reason != scatter.None:
		x.fillFailure(&a, v)
	case x.req.Route.FanOut():
		x.mergeParts(&a, v)
	default:
		a.Response = x.sends[v.Parts[0]].reply.Response
	}
	return a
}

// heldUpParts returns how many parts waited at this VM for a quarter of the objective or
// longer, because all sends that this VM may have open at an upstream were in use.
func (x *run) heldUpParts() int {
	limit, now := congestion.HeldUpAfter(objective(x.req.Route)), x.engine.now()
	heldUp := map[int]bool{}
	for i := range x.sends {
		if s := &x.sends[i]; s.call.Waited(now) >= limit {
			heldUp[s.part] = true
		}
	}
	return len(heldUp)
}

// congestedParts returns how many parts a full upstream refused. A wait for a connection is
// no refusal: after a restart one VM may be ready before the others, and then has few
// connections to upstreams that are idle.
func (x *run) congestedParts() int {
	full := map[int]bool{}
	for i := range x.sends {
		if s := &x.sends[i]; s.replied && s.refusedFull() {
			full[s.part] = true
		}
	}
	return len(full)
}

// countResults returns how many sends ended with the given result.
func (x *run) countResults(r scatter.Result) int {
	n := 0
	for i := range x.sends {
		if s := &x.sends[i]; s.replied && s.reply.Result == r {
			n++
		}
	}
	return n
}

// fillFailure sets the failure response of the upstream for a request that is not a query,
// and the retry time for work that has not run.
func (x *run) fillFailure(a *Answer, v *scatter.Outcome) {
	if !x.req.Route.FanOut() && v.Failure >= 0 {
		a.Response = x.sends[v.Failure].reply.Response
	}
	if v.NotRun {
		a.RetryAfter = retryAfter(v.Reason)
	}
	if v.Reason == scatter.NoUpstream {
		x.classifyNoUpstream(a)
	}
}

// classifyNoUpstream sets why no upstream may be given the request, and when to retry if
// that is known.
func (x *run) classifyNoUpstream(a *Answer) {
	v := x.engine.view.Load()
	homes := x.homes(v)
	for part, service := range x.plan.Services {
		if len(x.candidates(part)) > 0 {
			continue
		}
		atHome := x.engine.inHomes(v.Services[service], homes)
		switch {
		case len(atHome) > 0:
			a.Reason = ColdUpstreams
			a.RetryAfter = x.engine.timeUntilWarm(atHome)
			return
		case x.engine.hasEvacuated(v, service, homes):
			a.Reason = Evacuated
			return
		case len(v.Services[service]) > 0:
			a.Reason = NoUpstreamAtHome
			return
		}
	}
}

// hasEvacuated reports whether a service has upstreams in the home regions that are
// unavailable only because their data centre is evacuated.
func (e *Engine) hasEvacuated(v *catalog.View, service string, homes routing.Homes) bool {
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

func (x *run) mergeParts(a *Answer, v *scatter.Outcome) {
	var parts [][]byte
	for i, n := range v.Parts {
		if n < 0 {
			a.Missing++
			x.logMissingPart(i)
			continue
		}
		reply := &x.sends[n].reply
		parts = append(parts, reply.Response.Body())
		a.Proofs = append(a.Proofs, reply.Proof)
	}
	a.Body = topk.Merge(parts, x.req.Route.TopK)
}

// logMissingPart logs a shard that the answer leaves out, with the upstreams that were sent
// the part and have not replied.
func (x *run) logMissingPart(part int) {
	var pending []string
	for i := range x.sends {
		if s := &x.sends[i]; s.part == part && !s.replied {
			pending = append(pending, s.call.Upstream.ID)
		}
	}
	x.engine.opts.Logs.Failures.Info("edge: part left out",
		zap.String("request", x.req.Message.ID),
		zap.String("route", x.req.Route.Name),
		zap.String("service", x.plan.Services[part]),
		zap.Strings("waited_for", pending),
		zap.Duration("age", x.engine.now().Sub(x.req.Received)),
		zap.Uint64("revision", x.view.Revision))
}
