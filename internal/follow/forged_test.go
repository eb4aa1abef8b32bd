package follow

import (
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

const forgedRevision = 1_000_000

// readerWithForgedState is a reader that has taken in a forged page.
func readerWithForgedState(t *testing.T) (*Follower, time.Time) {
	t.Helper()
	f, now := reader()
	f.SetPeers([]Peer{{VM: "b", Region: "r"}})
	now = now.Add(time.Second)
	f.Heard(now, Peer{VM: "b", Region: "r", Address: "b"}, at(forgedRevision), time.Millisecond)
	now = now.Add(time.Second)
	f.Tick(now)
	f.Pulled(now, f.lastPullID, catalog.Page{At: at(forgedRevision), Whole: true, Items: []catalog.Item{put("nowhere", forgedRevision)}})
	if f.State().Revision() != forgedRevision {
		t.Fatalf("at revision %d", f.State().Revision())
	}
	return f, now
}

// Symptom: changes no longer come into force on some VMs, which list the store without end.
// Sequence: a peer gives a page of a revision far above the store's; the store then answers
// with its own.
// Cause: what is known was replaced by later revisions only, and the store's look old.
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
	if got := describeActions(f.Heard(now, peer, at(forgedRevision), time.Millisecond)); got != "" {
		t.Errorf("the claim is believed again: %q", got)
	}
	f.Heard(now, peer, at(13), time.Millisecond)
	if f.Lead() != at(13) {
		t.Errorf("the lead is %v: a true claim is to be followed", f.Lead())
	}
}

// A watch above a revision that does not exist hears nothing; its answer tells.
func TestWatchRevealsForgedRevision(t *testing.T) {
	f, now := readerWithForgedState(t)
	f.readOpen = true
	if got := describeActions(f.Watched(now, at(forgedRevision), at(12), nil)); got != "" {
		t.Errorf("watched: %q", got)
	}
	if got := describeActions(f.Tick(now.Add(time.Second))); got != "list" {
		t.Errorf("then: %q", got)
	}
}

// Symptom: a VM discards what it knows and serves nobody.
// Sequence: a listing is slow; meanwhile a peer brings a later revision.
// Cause: an answer to an earlier question was taken for a proof.
func TestSlowListingDisprovesNothing(t *testing.T) {
	f, now := reader()
	f.readStartedAt = now
	now = now.Add(time.Second)
	f.SetPeers([]Peer{{VM: "b", Region: "r"}})
	f.Heard(now, Peer{VM: "b", Region: "r", Address: "b"}, at(20), time.Millisecond)
	f.Tick(now.Add(readerPullDelay))
	f.Pulled(now, f.lastPullID, catalog.Page{At: at(20), Whole: true, Items: []catalog.Item{put("u2", 20)}})
	if got := describeActions(f.Listed(now.Add(time.Second), at(12), nil)); got != "" {
		t.Errorf("listed: %q", got)
	}
	if f.State().Revision() != 20 {
		t.Errorf("at revision %d", f.State().Revision())
	}
}
