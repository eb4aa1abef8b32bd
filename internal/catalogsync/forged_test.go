package catalogsync

import (
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

const forgedRevision = 1_000_000

// readerWithForgedState returns a reader that has applied a forged page.
func readerWithForgedState(t *testing.T) (*Follower, time.Time) {
	t.Helper()
	f, now := reader()
	f.SetPeers([]Peer{{VM: "b", Region: "r"}})
	now = now.Add(time.Second)
	f.PeerAnnounced(now, Peer{VM: "b", Region: "r", Address: "b"}, at(forgedRevision), time.Millisecond)
	now = now.Add(time.Second)
	f.Tick(now)
	f.Pulled(now, f.lastPullID, catalog.Page{At: at(forgedRevision), Whole: true, Items: []catalog.Item{put("nowhere", forgedRevision)}})
	if f.State().Revision() != forgedRevision {
		t.Fatalf("at revision %d", f.State().Revision())
	}
	return f, now
}

// Guards against VMs that list the store without end while changes no longer come into force: a
// peer sends a page with a revision far above the store's, and the store's own answers then
// look old.
func TestStoreOverridesForgedRevision(t *testing.T) {
	f, now := readerWithForgedState(t)
	f.readStartedAt = now.Add(time.Second)
	now = now.Add(1100 * time.Millisecond)
	if got := describeActions(f.Listed(now, at(12), []catalog.Item{put("u1", 11)})); got != "" {
		t.Errorf("listed once: %q", got)
	}
	if got := describeActions(f.Listed(now, at(12), []catalog.Item{put("u1", 11)})); got != "disproved announce changed" {
		t.Errorf("listed: %q", got)
	}
	if v := f.State().View(); v.Revision != 12 || v.Upstreams["nowhere"] != nil || v.Upstreams["u1"] == nil {
		t.Errorf("revision %d with %v", v.Revision, v.Upstreams)
	}
	now = now.Add(time.Second)
	peer := Peer{VM: "b", Region: "r", Address: "b"}
	if got := describeActions(f.PeerAnnounced(now, peer, at(forgedRevision), time.Millisecond)); got != "" {
		t.Errorf("the disproved claim is followed again: %q", got)
	}
	f.PeerAnnounced(now, peer, at(13), time.Millisecond)
	if f.Lead() != at(13) {
		t.Errorf("the lead is %v, want the valid claim", f.Lead())
	}
}

// A watch above a revision that does not exist returns no changes; the position of its answer
// reveals the forgery.
func TestWatchRevealsForgedRevision(t *testing.T) {
	f, now := readerWithForgedState(t)
	f.readOpen = true
	if got := describeActions(f.Watched(now, at(forgedRevision), at(12), nil)); got != "" {
		t.Errorf("watched: %q", got)
	}
	if got := describeActions(f.Tick(now.Add(time.Second))); got != "list" {
		t.Errorf("after the next tick: %q", got)
	}
}

// Guards against a VM that discards its state and serves no requests: a peer supplies a later
// revision during a slow listing, and the answer to the earlier call counts as a disproof.
func TestSlowListingDisprovesNothing(t *testing.T) {
	f, now := reader()
	f.readStartedAt = now
	now = now.Add(time.Second)
	f.SetPeers([]Peer{{VM: "b", Region: "r"}})
	f.PeerAnnounced(now, Peer{VM: "b", Region: "r", Address: "b"}, at(20), time.Millisecond)
	f.Tick(now.Add(readerPullDelay))
	f.Pulled(now, f.lastPullID, catalog.Page{At: at(20), Whole: true, Items: []catalog.Item{put("u2", 20)}})
	if got := describeActions(f.Listed(now.Add(time.Second), at(12), nil)); got != "" {
		t.Errorf("listed: %q", got)
	}
	if f.State().Revision() != 20 {
		t.Errorf("at revision %d", f.State().Revision())
	}
}
