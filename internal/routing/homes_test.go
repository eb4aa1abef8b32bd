package routing

import (
	"slices"
	"testing"
)

// Guards against homes that allow an unknown region, and against an empty intersection that
// becomes unrestricted.
func TestHomes(t *testing.T) {
	none, north, both, empty := Homes{}, NewHomes("north"), NewHomes("north", "east"), NewHomes("north").Intersect(NewHomes("east"))
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
		{"intersection", both.Intersect(north), "north", true},
		{"outside the intersection", both.Intersect(north), "east", false},
		{"intersection with none", none.Intersect(north), "east", false},
		{"empty intersection", empty, "north", false},
		{"empty intersection, intersected with no homes", empty.Intersect(none), "east", false},
		{"an empty name is no region", NewHomes(""), "", false},
	} {
		if got := c.homes.Allow(c.region); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Guards against sending callers to VMs outside of all home regions of a host.
func TestHomesOfAHost(t *testing.T) {
	table := Compile(&Config{Routes: []Route{
		{Host: "homed", Prefix: "/a/", Homes: NewHomes("north")},
		{Host: "homed", Prefix: "/b/", Homes: NewHomes("east", "north")},
		{Host: "mixed", Prefix: "/a/", Homes: NewHomes("north")},
		{Host: "mixed", Prefix: "/b/"},
	}})
	if h := table.HostHomes("Homed:80"); !h.Restricted() || !slices.Equal(h.Regions(), []string{"north", "east"}) {
		t.Errorf("all routes have homes: got %+v", h)
	}
	if h := table.HostHomes("mixed"); h.Restricted() {
		t.Errorf("one route has no homes: got %+v", h)
	}
	if h := table.HostHomes("other"); h.Restricted() {
		t.Errorf("no route: got %+v", h)
	}
}
