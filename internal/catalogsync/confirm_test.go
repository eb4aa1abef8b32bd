package catalogsync

import (
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

// Guards against most VMs reading the store at once during a burst of changes whenever a few
// pulls fail, although each holds a change at most a second old. By the time a VM has pulled
// the position that a peer announced, the next change has been announced, so a VM that is
// confirmed only at the latest announced position never is. The test checks the age of the
// confirmation while the revision advances.
func TestVMThatKeepsUpIsConfirmed(t *testing.T) {
	const (
		round = 300 * time.Millisecond
		hop   = 15 * time.Millisecond
	)
	f, now := reader()
	peer := Peer{VM: "b", Region: "r", Address: "b"}
	f.SetPeers([]Peer{peer})
	f.rank = 1
	revision := f.State().Revision()
	f.Watched(now, at(revision), at(revision), nil)
	pending := Pull{}
	for end := now.Add(4 * bound); now.Before(end); now = now.Add(round) {
		ended := pending
		revision++
		actions := f.PeerAnnounced(now, peer, at(revision), hop)
		if ended.ID > 0 {
			page := catalog.Page{At: at(revision - 1), After: ended.After, Items: []catalog.Item{put("u1", revision-1)}}
			actions = f.Pulled(now, ended.ID, page)
		}
		for _, a := range actions {
			if p, ok := a.(Pull); ok {
				pending = p
			}
		}
		if age := now.Sub(f.Confirmed()); ended.ID > 0 && age > 2*round {
			t.Fatalf("at revision %d of %d the confirmation is %v old", f.State().Revision(), revision, age)
		}
	}
}

// Guards against treating an unreachable store as answering and dropping live upstreams: a VM
// holds a stale listing, a peer with another stale listing announces the same position, and the
// claim without a confirmation counts as an old confirmation.
func TestUnconfirmedClaimConfirmsNothing(t *testing.T) {
	f := newFollower(start, "a", "r", false)
	f.ListedStale(start, at(10), []catalog.Item{put("u1", 5)})
	if got := describeActions(f.PeerAnnounced(start.Add(time.Second), Peer{VM: "b", Region: "s", Address: "b"}, at(10), Unconfirmed)); got != "" {
		t.Errorf("heard: %q", got)
	}
	if !f.Confirmed().IsZero() {
		t.Errorf("confirmed at %v", f.Confirmed())
	}
	f.PeerAnnounced(start.Add(time.Second), Peer{VM: "b", Region: "r", Address: "b"}, at(12), Unconfirmed)
	if f.Lead() != at(12) {
		t.Errorf("the lead is %v, want the unconfirmed claim", f.Lead())
	}
}
