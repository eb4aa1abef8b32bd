package catalog

import "time"

// Upstream is one upstream's registration.
type Upstream struct {
	// ID names the upstream; it may keep it when it starts again.
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Software is the version of its program.
	Software string
	// Slots is how many requests it runs at a time.
	Slots int
	// Leaving upstreams take no new work.
	Leaving bool
	// ColdFor is how long it said that it would still be slow.
	ColdFor time.Duration
	// Born is when it started, by its own clock; zero when it does not say.
	Born time.Time
	// Registered is the revision at which the entry first appeared.
	Registered uint64
}

// StartedAfter tells whether this is a later start of the same upstream than another
// registration shows. What was observed of the earlier one says nothing of it.
func (u *Upstream) StartedAfter(other *Upstream) bool {
	return !other.Born.IsZero() && u.Born.After(other.Born)
}
