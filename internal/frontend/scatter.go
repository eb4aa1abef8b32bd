package frontend

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/congestion"
	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/query"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
)

// overloadRetry is the least time a caller is sent away for while a service is
// congested.
const overloadRetry = 100 * time.Millisecond

// startScatter lets a query begin, or refuses it while its service is congested.
func (f *Frontend) startScatter(k *contract.Kind) *refusal.Error {
	if f.opts.Unbounded {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.scatters[k.Service.Name]
	if l == nil {
		l = congestion.New(congestion.DefaultPolicy())
		f.scatters[k.Service.Name] = l
	}
	if l.Start(k.Priority) {
		return nil
	}
	return refusal.New(refusal.Overloaded, "the upstreams of "+k.Service.Name+" have no room for another query").After(max(overloadRetry, k.Deadline()/2))
}

// endScatter learns from the outcome; nil for a query that was abandoned.
func (f *Frontend) endScatter(k *contract.Kind, started time.Time, o *query.Outcome) {
	if f.opts.Unbounded {
		return
	}
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.scatters[k.Service.Name]
	if o == nil {
		l.Abandon()
		return
	}
	l.Done(now, started, congestion.Outcome{Shards: len(o.Shards), NoRoom: noRoom(o)})
}

// noRoom is how many shards were refused for want of room at least once.
func noRoom(o *query.Outcome) int {
	n := 0
	for i := range o.Shards {
		if o.Shards[i].FoundNoRoom() {
			n++
		}
	}
	return n
}
