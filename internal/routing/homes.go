package routing

import "slices"

// Homes is the regions in which the requests of a route may be served. The zero value
// sets no bound.
type Homes struct {
	bound   bool
	regions []string
}

// HomesIn is the homes in some regions; without any it sets no bound.
func HomesIn(regions ...string) Homes { return Homes{len(regions) > 0, regions} }

// Bound tells whether the homes exclude any region.
func (h Homes) Bound() bool { return h.bound }

// Regions lists the homes; it is empty where they set no bound, or exclude every region.
func (h Homes) Regions() []string { return h.regions }

// Allow tells whether requests may be served in a region. An empty region is unknown, and
// allowed only where the homes set no bound.
func (h Homes) Allow(region string) bool {
	return !h.bound || region != "" && slices.Contains(h.regions, region)
}

// And is the homes that two bounds leave together.
func (h Homes) And(other Homes) Homes {
	switch {
	case !h.bound:
		return other
	case !other.bound:
		return h
	}
	return Homes{true, slices.DeleteFunc(slices.Clone(h.regions), func(r string) bool { return !slices.Contains(other.regions, r) })}
}

// HostHomes is the regions whose VMs may take the requests of a host, beside those of the
// caller's own region. A host that also has a route without homes sets no bound: its callers
// use the same addresses for all its routes.
func (t *Table) HostHomes(host string) Homes {
	var out Homes
	for _, r := range t.byHost[NormalHost(host)] {
		if !r.Homes.bound {
			return Homes{}
		}
		out.bound = true
		for _, region := range r.Homes.regions {
			if !slices.Contains(out.regions, region) {
				out.regions = append(out.regions, region)
			}
		}
	}
	return out
}
