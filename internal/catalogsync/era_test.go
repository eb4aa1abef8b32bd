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

// Guards against missed changes: a reader that had pulled the catalog of a later era while its watch
// of the previous one waited took the answer for the changes after that catalog, though it starts
// at a higher revision.
func TestWatchOfEarlierEraDoesNotContinueAPulledCatalog(t *testing.T) {
	f, now := reader()
	f.Tick(now.Add(bound / 4))
	pulled := catalog.Position{Era: 1, Revision: 6}
	f.state.Replace(now, pulled, nil)
	if f.State().Position() != pulled {
		t.Fatalf("at %v after the pull", f.State().Position())
	}
	change := catalog.Item{Key: "u2", Value: []byte("x"), Era: 1, Revision: 11}
	got := describeActions(f.Watched(now.Add(bound/3), at(10), change.Position(), []catalog.Item{change}))
	if got != "list" || f.State().Position() != pulled {
		t.Errorf("%q at %v, want a listing, as the changes of revisions 7 to 10 are unknown", got, f.State().Position())
	}
}
