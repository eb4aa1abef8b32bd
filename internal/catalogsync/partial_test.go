package catalogsync

import (
	"strings"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

// behind returns a follower that pulls from a peer.
func behind(t *testing.T) (*Follower, time.Time) {
	t.Helper()
	f, now := reader()
	f.SetPeers([]Peer{{VM: "b", Region: "r"}})
	f.opts.Seed = false
	f.started = now.Add(time.Hour)
	f.readOpen = false
	f.PeerAnnounced(now, Peer{VM: "b", Region: "r", Address: "b"}, at(20), 0)
	if f.pull == nil {
		f.Tick(now.Add(pullStallTimeout))
	}
	if f.pull == nil {
		t.Fatal("no pull")
	}
	return f, now.Add(pullStallTimeout)
}

// Guards against items that a VM loses, or never learns, because a peer's page lacks them: the peer had no
// room for them or is of a release that does not read them.
func TestPartialPagesAreCompletedFromTheStore(t *testing.T) {
	f, now := behind(t)
	f.Pulled(now, f.lastPullID, catalog.Page{At: at(20), Whole: true, Partial: true, Items: []catalog.Item{put("u2", 15)}})
	if f.State().Position() != at(10) || f.State().View().Upstreams["u1"] == nil {
		t.Fatal("a partial page has replaced the state")
	}
	f, now = behind(t)
	f.Pulled(now, f.lastPullID, catalog.Page{At: at(20), After: at(10), Partial: true, Items: []catalog.Item{put("u2", 15)}})
	if f.State().Position() != at(20) {
		t.Fatal("partial changes were not applied")
	}
	lists := 0
	for end := now.Add(9 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
		f.PeerAnnounced(now, Peer{VM: "b", Region: "r", Address: "b"}, at(20), 0)
		if strings.Contains(describeActions(f.Tick(now)), "list") {
			lists++
			f.Listed(now, at(20), []catalog.Item{put("u1", 5), put("u2", 15), put("u3", 16)})
			f.listForPartial(now)
		}
	}
	if f.State().View().Upstreams["u3"] == nil || lists != 1 {
		t.Errorf("%d listings, upstreams %v", lists, f.State().View().Upstreams)
	}
	empty := newFollower(start, "a", "r", false)
	empty.PeerAnnounced(start, Peer{VM: "b", Region: "r", Address: "b"}, at(20), 0)
	empty.Pulled(start, empty.lastPullID, catalog.Page{At: at(20), Whole: true, Partial: true, Items: []catalog.Item{put("u2", 15)}})
	if empty.State().View().Upstreams["u2"] == nil {
		t.Error("a VM without state does not take a partial page")
	}
}
