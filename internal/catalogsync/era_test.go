package catalogsync

import (
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

// Guards against a reader that applies changes of a later era to its state of the previous one,
// or delays the listing that it needs.
func TestWatchAnsweredInLaterEraTriggersListing(t *testing.T) {
	f, now := reader()
	now = now.Add(bound / 4)
	f.Tick(now)
	later := catalog.Position{Era: 1, Revision: 12}
	change := catalog.Item{Key: "u2", Value: []byte("x"), Era: 1, Revision: 12}
	if got := describeActions(f.Watched(now.Add(time.Millisecond), at(10), later, []catalog.Item{change})); got != "list" {
		t.Errorf("%q", got)
	}
	if f.State().Position() != at(10) {
		t.Errorf("at %v", f.State().Position())
	}
}

// Guards against ignoring claims of a later era because a peer made up a revision in the
// previous one.
func TestDisproofDoesNotCarryOverToLaterEra(t *testing.T) {
	f, now := readerWithForgedState(t)
	f.readStartedAt = now.Add(time.Second)
	now = now.Add(1100 * time.Millisecond)
	for range disproofThreshold {
		f.Listed(now, at(12), nil)
	}
	claim := catalog.Position{Era: 1, Revision: 13}
	f.PeerAnnounced(now, Peer{VM: "b", Region: "r", Address: "b"}, claim, time.Millisecond)
	if f.Lead() != claim || f.RejectedClaims() != 0 {
		t.Errorf("the lead is %v, %d claims ignored", f.Lead(), f.RejectedClaims())
	}
}
