package edge

import (
	"testing"

	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
	"sycamorekeel.example/sycamorekeel/internal/routing"
)

// Guards against hedges of less urgent routes that take the budget of the most urgent ones, and
// against a reserve where all routes of a service have the same priority.
func TestClaimsFollowTheUrgencyOfRoutes(t *testing.T) {
	s := newSim(1)
	c := *s.view.Config
	c.Routes = append(c.Routes[:len(c.Routes):len(c.Routes)], routing.Route{Name: "check", Host: "h", Prefix: "/c/", Shards: c.Routes[0].Shards[:1], Priority: 0})
	c.Routes[0].Priority, c.Routes[1].Priority = 1, 2
	v := *s.view
	v.Config, v.Table = &c, routing.Compile(&c)
	s.engine.SetView(s.clock.Now(), &v)
	for i, want := range [][2]retrybudget.Kind{
		{retrybudget.LessUrgentHedge, retrybudget.Hedge},
		{retrybudget.Hedge, 0},
		{retrybudget.Hedge, 0},
	} {
		x := &run{engine: s.engine, req: &Request{Route: &c.Routes[i]}}
		x.plan.Services = c.Routes[i].Shards
		if !c.Routes[i].FanOut() {
			x.plan.Services = []string{"p"}
		}
		for part, kind := range want[:min(2, len(x.plan.Services))] {
			if got := x.claim(part, retrybudget.Hedge); got != kind {
				t.Errorf("route %s, part %d: %v, want %v", c.Routes[i].Name, part, got, kind)
			}
		}
		if got := x.claim(0, retrybudget.Retry); got != retrybudget.Retry {
			t.Errorf("route %s: a retry claims as %v", c.Routes[i].Name, got)
		}
	}
}
