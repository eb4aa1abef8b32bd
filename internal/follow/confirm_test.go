package follow

import (
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

// Symptom: in a storm of changes most VMs read the store at once whenever a few pulls
// fail, though each holds a change that is a second old at most.
// Sequence: a VM pulls what a peer had when it was asked; meanwhile the peer, or another
// one, has announced the next change.
// Cause: a VM took itself for confirmed only when it held the very revision announced
// last, which it never does while changes come faster than pulls end.
// Proved by the age of the confirmation beside the revision, which moves on.
func TestVMThatKeepsUpIsConfirmed(t *testing.T) {
	const (
		round = 300 * time.Millisecond
		hop   = 15 * time.Millisecond
	)
	f, now := reader()
	giver := Peer{VM: "b", Region: "r", Address: "b"}
	f.SetPeers([]Peer{giver})
	f.rank = 1
	revision := f.State().Revision()
	f.Watched(now, at(revision), at(revision), nil)
	asked := Pull{}
	for end := now.Add(4 * bound); now.Before(end); now = now.Add(round) {
		ended := asked
		revision++
		actions := f.Heard(now, giver, at(revision), hop)
		if ended.ID > 0 {
			page := catalog.Page{At: at(revision - 1), After: ended.After, Items: []catalog.Item{put("u1", revision-1)}}
			actions = f.Pulled(now, ended.ID, page)
		}
		for _, a := range actions {
			if p, ok := a.(Pull); ok {
				asked = p
			}
		}
		if age := now.Sub(f.Confirmed()); ended.ID > 0 && age > 2*round {
			t.Fatalf("at revision %d of %d the confirmation is %v old", f.State().Revision(), revision, age)
		}
	}
}

// Symptom: a VM takes a store that is away for one that answers, and drops upstreams that
// live.
// Sequence: it has listed what may be stale, and hears of a peer that has done the same.
// Cause: a claim without a confirmation was taken for an old confirmation.
func TestUnconfirmedClaimConfirmsNothing(t *testing.T) {
	f := newFollower(start, "a", "r", false)
	f.ListedStale(start, at(10), []catalog.Item{put("u1", 5)})
	if got := describeActions(f.Heard(start.Add(time.Second), Peer{VM: "b", Region: "s", Address: "b"}, at(10), Unconfirmed)); got != "" {
		t.Errorf("heard: %q", got)
	}
	if !f.Confirmed().IsZero() {
		t.Errorf("confirmed at %v", f.Confirmed())
	}
	f.Heard(start.Add(time.Second), Peer{VM: "b", Region: "r", Address: "b"}, at(12), Unconfirmed)
	if f.Lead() != at(12) {
		t.Errorf("the lead is %v: what a peer has may be asked for", f.Lead())
	}
}
