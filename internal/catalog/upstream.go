package catalog

import "time"

// Upstream is the registration of one upstream.
type Upstream struct {
	// ID identifies the upstream and may stay the same across restarts.
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Software is the version of the upstream's program.
	Software string
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Leaving upstreams take no new work.
	Leaving bool
	// ColdFor is how long the upstream expected to be slow after registering.
	ColdFor time.Duration
	// StartedAt is the start time by the upstream's own clock, zero if not reported.
	StartedAt time.Time
	// RegisteredRevision is the revision at which the entry first appeared.
	RegisteredRevision uint64
}

// StartedAfter reports whether u is a later start of the same upstream than other. Observations
// of the earlier start do not apply to the later one.
func (u *Upstream) StartedAfter(other *Upstream) bool {
	return !other.StartedAt.IsZero() && u.StartedAt.After(other.StartedAt)
}
