package quarantine

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/fingerprint"
)

const (
	// recentFor is how long a request that an upstream has survived is not made a suspect.
	// What callers ask all the time is answered within it; a request that has begun to crash
	// upstreams is not, and its chain of crashes is counted meanwhile.
	recentFor = 10 * time.Second
	// maxRecent bounds what is remembered of answers, to about 150 KB: those of ten seconds
	// on a VM with a few hundred requests a second.
	maxRecent = 2048
)

// recent is the requests that upstreams have survived lately. Upstreams end now and then under
// what many callers ask; made a suspect each time, it would be held up for as long as a trial
// takes, for all who ask it.
type recent struct {
	at map[fingerprint.Fingerprint]time.Time
	// order is a ring of those in the map, next the oldest of them.
	order [maxRecent]fingerprint.Fingerprint
	next  int
}

func (r *recent) note(now time.Time, content fingerprint.Fingerprint) {
	if r.at == nil {
		r.at = map[fingerprint.Fingerprint]time.Time{}
	}
	if _, known := r.at[content]; !known {
		delete(r.at, r.order[r.next])
		r.order[r.next] = content
		r.next = (r.next + 1) % maxRecent
	}
	r.at[content] = now
}

// has tells whether a request was survived lately.
func (r *recent) has(now time.Time, content fingerprint.Fingerprint) bool {
	at, known := r.at[content]
	return known && now.Sub(at) < recentFor
}
