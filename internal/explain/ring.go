// Package explain remembers the last requests: what was sent where and why, and
// why it was refused. Its memory is bounded; bodies and secrets never enter.
package explain

import (
	"fmt"
	"sync"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/query"
)

// Record is one request.
type Record struct {
	RequestID string    `json:"request_id"`
	Customer  string    `json:"customer"`
	Kind      string    `json:"kind"`
	Started   time.Time `json:"started"`
	ElapsedMS float64   `json:"elapsed_ms"`
	// Outcome is answered or the refusal's reason.
	Outcome  string  `json:"outcome"`
	Ran      string  `json:"ran,omitempty"`
	Detail   string  `json:"detail,omitempty"`
	Snapshot string  `json:"snapshot,omitempty"`
	Coverage float64 `json:"coverage"`
	// Restarts are the changes of the pinned snapshot.
	Restarts []query.RestartRecord `json:"restarts,omitempty"`
	Shards   []Shard               `json:"shards,omitempty"`
}

// Shard is what one shard did for a request.
type Shard struct {
	ID       uint32                `json:"id"`
	Missing  string                `json:"missing,omitempty"`
	Attempts []query.AttemptRecord `json:"attempts"`
}

// Ring holds the last records. It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	records []*Record
	byID    map[string]*Record
	next    int
}

// NewRing holds the last size requests.
func NewRing(size int) *Ring {
	return &Ring{records: make([]*Record, size), byID: make(map[string]*Record, size)}
}

// Add stores a record in place of the oldest one.
func (r *Ring) Add(rec *Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.records[r.next]; old != nil && r.byID[old.RequestID] == old {
		delete(r.byID, old.RequestID)
	}
	r.records[r.next] = rec
	r.byID[rec.RequestID] = rec
	r.next = (r.next + 1) % len(r.records)
}

// Find looks a request up by its id.
func (r *Ring) Find(id string) (*Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.byID[id]
	return rec, ok
}

// Shards turns a query's outcome into the shards of a record.
func Shards(o *query.Outcome) []Shard {
	out := make([]Shard, 0, len(o.Shards))
	for _, s := range o.Shards {
		out = append(out, Shard{ID: s.Shard.ID, Missing: string(s.Missing), Attempts: s.Attempts})
	}
	return out
}

// Snapshot writes a snapshot as "generation/version".
func Snapshot(s *pb.Snapshot) string {
	return fmt.Sprintf("%d/%d", s.GetGeneration(), s.GetVersion())
}
