package frontend

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/congestion"
	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/query"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
)

// minOverloadRetry is the minimum retry delay sent to a caller while a service is
// congested.
const minOverloadRetry = 100 * time.Millisecond

// startScatter starts a query, or refuses it while its service is congested.
func (f *Frontend) startScatter(k *contract.Kind) *refusal.Error {
	if f.opts.NoConcurrencyLimit {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.limiters[k.Service.Name]
	if l == nil {
		l = congestion.New(congestion.DefaultPolicy())
		f.limiters[k.Service.Name] = l
	}
	if l.Start(k.Priority) {
		return nil
	}
	return refusal.New(refusal.Overloaded, "the upstreams of "+k.Service.Name+" have no room for another query").WithRetryAfter(max(minOverloadRetry, k.Deadline()/2))
}

// endScatter reports the outcome of a query to the service's limiter; o is nil if
// the query was abandoned.
func (f *Frontend) endScatter(k *contract.Kind, started time.Time, o *query.Outcome) {
	if f.opts.NoConcurrencyLimit {
		return
	}
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.limiters[k.Service.Name]
	if o == nil {
		l.Abandon()
		return
	}
	l.Done(now, started, congestion.Outcome{Shards: len(o.Shards), RefusedShards: saturatedShards(o), Priority: k.Priority})
}

// saturatedShards counts the shards that refused at least one sub-request for lack
// of capacity.
func saturatedShards(o *query.Outcome) int {
	n := 0
	for i := range o.Shards {
		if o.Shards[i].RefusedForCapacity() {
			n++
		}
	}
	return n
}
