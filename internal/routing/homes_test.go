package routing

import (
	"slices"
	"testing"
)

// Guards against homes that allow an unknown region, and against an empty intersection that
// becomes unrestricted.
func TestHomes(t *testing.T) {
	none, north, both, empty := Homes{}, HomesIn("north"), HomesIn("north", "east"), HomesIn("north").And(HomesIn("east"))
	for _, c := range []struct {
		name   string
		homes  Homes
		region string
		want   bool
	}{
		{"no homes", none, "west", true},
		{"no homes, unknown region", none, "", true},
		{"in a home", both, "east", true},
		{"outside", north, "east", false},
		{"unknown region", north, "", false},
		{"intersection", both.And(north), "north", true},
		{"outside the intersection", both.And(north), "east", false},
		{"intersection with none", none.And(north), "east", false},
		{"empty intersection", empty, "north", false},
		{"empty intersection, intersected with no homes", empty.And(none), "east", false},
		{"an empty name is no region", HomesIn(""), "", false},
	} {
		if got := c.homes.Allow(c.region); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Guards against sending callers to VMs outside of all home regions of a host.
func TestHomesOfAHost(t *testing.T) {
	table := Compile(&Config{Routes: []Route{
		{Host: "homed", Prefix: "/a/", Homes: HomesIn("north")},
		{Host: "homed", Prefix: "/b/", Homes: HomesIn("east", "north")},
		{Host: "mixed", Prefix: "/a/", Homes: HomesIn("north")},
		{Host: "mixed", Prefix: "/b/"},
	}})
	if h := table.HostHomes("Homed:80"); !h.Bound() || !slices.Equal(h.Regions(), []string{"north", "east"}) {
		t.Errorf("all routes have homes: got %+v", h)
	}
	if h := table.HostHomes("mixed"); h.Bound() {
		t.Errorf("one route has no homes: got %+v", h)
	}
	if h := table.HostHomes("other"); h.Bound() {
		t.Errorf("no route: got %+v", h)
	}
}
