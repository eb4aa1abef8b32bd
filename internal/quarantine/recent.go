package quarantine

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/fingerprint"
)

const (
	// recentWindow is how long a request cannot become a suspect after an upstream has survived
	// it. A request that callers send all the time is answered again within the window. One
	// that has started to crash upstreams is not; its chain of crashes is counted meanwhile.
	recentWindow = 10 * time.Second
	// maxRecent limits the memory to about 150 KB. It covers ten seconds on a VM with a few
	// hundred requests per second.
	maxRecent = 2048
)

// recentSurvivals holds the requests that upstreams recently survived. Upstreams end now and
// then under a request that many callers send. If it became a suspect each time, all of its
// callers would wait for the duration of a trial.
type recentSurvivals struct {
	survivedAt map[fingerprint.Fingerprint]time.Time
	// order is a ring buffer of the map's keys, next the position of the oldest.
	order [maxRecent]fingerprint.Fingerprint
	next  int
}

func (r *recentSurvivals) add(now time.Time, content fingerprint.Fingerprint) {
	if r.survivedAt == nil {
		r.survivedAt = map[fingerprint.Fingerprint]time.Time{}
	}
	if _, known := r.survivedAt[content]; !known {
		delete(r.survivedAt, r.order[r.next])
		r.order[r.next] = content
		r.next = (r.next + 1) % maxRecent
	}
	r.survivedAt[content] = now
}

// contains reports whether an upstream survived a request within recentWindow.
func (r *recentSurvivals) contains(now time.Time, content fingerprint.Fingerprint) bool {
	at, known := r.survivedAt[content]
	return known && now.Sub(at) < recentWindow
}
