package routing

import "slices"

// Homes is the set of home regions of a route, in which its requests may be served. The zero
// value is unrestricted and allows all regions.
type Homes struct {
	restricted bool
	regions    []string
}

// NewHomes returns a set of home regions. Without regions it is unrestricted.
func NewHomes(regions ...string) Homes { return Homes{len(regions) > 0, regions} }

// Restricted reports whether the set is restricted to its regions.
func (h Homes) Restricted() bool { return h.restricted }

// Regions returns the home regions. The result is empty if the set is unrestricted or allows
// no region; Restricted distinguishes the two.
func (h Homes) Regions() []string { return h.regions }

// Allow reports whether requests may be served in a region. The empty region is unknown and
// allowed only if the set is unrestricted.
func (h Homes) Allow(region string) bool {
	return !h.restricted || region != "" && slices.Contains(h.regions, region)
}

// Intersect returns the intersection of two sets, which may allow no region.
func (h Homes) Intersect(other Homes) Homes {
	switch {
	case !h.restricted:
		return other
	case !other.restricted:
		return h
	}
	return Homes{true, slices.DeleteFunc(slices.Clone(h.regions), func(r string) bool { return !slices.Contains(other.regions, r) })}
}

// HostHomes returns the union of the home regions of a host's routes. Callers of the host may
// use VMs in these regions in addition to those in their own region. The result is
// unrestricted if any route of the host is, since callers use the same addresses for all
// routes of a host, and also if the host has no route.
func (t *Table) HostHomes(host string) Homes {
	var out Homes
	for _, r := range t.byHost[NormalHost(host)] {
		if !r.Homes.restricted {
			return Homes{}
		}
		out.restricted = true
		for _, region := range r.Homes.regions {
			if !slices.Contains(out.regions, region) {
				out.regions = append(out.regions, region)
			}
		}
	}
	return out
}
