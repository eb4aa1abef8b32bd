package catalogsync

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/routing"
)

const bound = 3 * time.Second

var start = time.Unix(1000, 0)

// testDecoder decodes every item as an upstream of one service.
type testDecoder struct{}

func (testDecoder) Kind(string) catalog.Kind { return catalog.Registration }

func (testDecoder) Evacuated(string) string { return "" }

func (testDecoder) Config(catalog.Item) (*routing.Config, error) { return &routing.Config{}, nil }

func (testDecoder) Upstream(it catalog.Item) (catalog.Upstream, error) {
	return catalog.Upstream{ID: it.Key, Service: "s"}, nil
}

func newFollower(now time.Time, name, region string, first bool) *Follower {
	return New(now, Options{
		VM: name, Place: locality.Place{Region: region}, ChangeBound: bound, FirstStart: first, Decoder: testDecoder{},
		Random: rand.New(rand.NewPCG(1, uint64(len(name)))),
	})
}

func put(key string, revision uint64) catalog.Item {
	return catalog.Item{Key: key, Value: []byte("x"), Revision: revision}
}

// at returns a position in era 0, for a store that reports no eras.
func at(revision uint64) catalog.Position { return catalog.Position{Revision: revision} }

// describeActions formats actions briefly.
func describeActions(actions []Action) string {
	var out []string
	for _, a := range actions {
		switch a := a.(type) {
		case List:
			out = append(out, "list")
		case Watch:
			out = append(out, fmt.Sprintf("watch>%d", a.After.Revision))
		case Pull:
			out = append(out, fmt.Sprintf("pull>%d:%s", a.After.Revision, a.Address))
		case Announce:
			out = append(out, "announce")
		case Changed:
			out = append(out, "changed")
		case Disproved:
			out = append(out, "disproved")
		case ReadConfiguration:
			out = append(out, "configuration")
		}
	}
	return strings.Join(out, " ")
}

// reader returns a follower without peers that has listed the store at revision 10. It is a
// seed, because other VMs are not elected until they know the fleet.
func reader() (*Follower, time.Time) {
	f := newFollower(start, "a", "r", false)
	f.opts.Seed = true
	now := start.Add(peerAnswerWait)
	f.Tick(start.Add(peerAnswerWait / 2))
	f.Tick(now)
	f.Listed(now, at(10), []catalog.Item{put("u1", 5)})
	return f, now
}

// Each case is one outcome of a read of the store and the reader's next step.
func TestReadOutcomes(t *testing.T) {
	soon := 500 * time.Millisecond
	for _, c := range []struct {
		name  string
		event func(f *Follower, now time.Time) []Action
		want  string
	}{
		{"history compacted: list at once",
			func(f *Follower, now time.Time) []Action { return f.ReadFailed(now, true) }, "list"},
		{"call failed: watch again after a pause",
			func(f *Follower, now time.Time) []Action {
				return append(f.ReadFailed(now, false), f.Tick(now.Add(soon))...)
			}, "watch>10"},
		{"changes arrive",
			func(f *Follower, now time.Time) []Action {
				return append(f.Watched(now, at(10), at(12), []catalog.Item{put("u2", 12)}), f.Tick(now.Add(soon))...)
			}, "announce changed watch>12"},
		{"no change within the wait",
			func(f *Follower, now time.Time) []Action {
				return append(f.Watched(now, at(10), at(10), nil), f.Tick(now.Add(soon))...)
			}, "announce watch>10"},
		{"a revision that the changes do not account for: list",
			func(f *Follower, now time.Time) []Action {
				return append(f.Watched(now, at(10), at(13), []catalog.Item{put("u2", 12)}), f.Tick(now.Add(soon))...)
			}, "changed list"},
		{"an older answer changes nothing",
			func(f *Follower, now time.Time) []Action {
				return append(f.Listed(now, at(9), nil), f.Tick(now.Add(soon))...)
			}, "list"},
		{"the process was suspended: list",
			func(f *Follower, now time.Time) []Action {
				f.ReadFailed(now, false)
				return f.Tick(now.Add(pauseGap + time.Second))
			}, "list"},
	} {
		f, now := reader()
		now = now.Add(bound / 4)
		if got := describeActions(f.Tick(now)); got != "watch>10" {
			t.Fatalf("%s: starts with %q", c.name, got)
		}
		if got := describeActions(c.event(f, now)); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

func TestStoreCallsAreSpaced(t *testing.T) {
	f, now := reader()
	calls := 0
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
		for _, a := range f.Tick(now) {
			if w, ok := a.(Watch); ok {
				calls++
				next := w.After.Revision + 1
				f.Watched(now, w.After, at(next), []catalog.Item{put("u", next)})
			}
		}
	}
	if most := int(10/(readSpacingShare*bound.Seconds())) + 2; calls > most {
		t.Errorf("%d calls in 10 s of steady changes, want at most %d", calls, most)
	}
}

func TestVMBehindPullsFromPeerAhead(t *testing.T) {
	f := newFollower(start, "a", "r", false)
	f.SetPeers([]Peer{{VM: "b", Region: "r"}, {VM: "c", Region: "s"}})
	f.rank = 1
	far, near := Peer{VM: "c", Region: "s", Address: "far"}, Peer{VM: "b", Region: "r", Address: "near"}
	if got := describeActions(f.PeerAnnounced(start, far, at(20), 0)); got != "" {
		t.Errorf("%q at once for a peer of another region", got)
	}
	if got := describeActions(f.PeerAnnounced(start, near, at(20), 0)); got != "pull>0:near" {
		t.Errorf("%q, want a pull from the peer of the same region", got)
	}
	if got := describeActions(f.Pulled(start, 1, catalog.Page{At: at(20), Whole: true, Items: []catalog.Item{put("u1", 5)}})); got != "announce changed" {
		t.Errorf("after the pull: %q", got)
	}
	if got := describeActions(f.PeerAnnounced(start, far, at(21), 0)); got != "" {
		t.Errorf("%q at once for a peer of another region", got)
	}
	if got := describeActions(f.Tick(start.Add(farPullDelay))); got != "pull>20:far" {
		t.Errorf("%q after farPullDelay", got)
	}
	if got := describeActions(f.PullFailed(start.Add(farPullDelay+pullStallTimeout), 2)); got != "" {
		t.Errorf("%q after a failed pull, want a wait for the next announcement", got)
	}
	if got := describeActions(f.PeerAnnounced(start.Add(time.Second), near, at(21), 0)); got != "pull>20:near" {
		t.Errorf("%q, want a pull from the next peer", got)
	}
}

// Guards against a delay beyond the start-up time after all processes were lost: each process
// waits for a peer that has the configuration and none has, because the seeds' answer that they
// have no state does not end the wait.
func TestProcessReadsAtOnceWhenSeedsAreEmpty(t *testing.T) {
	f := newFollower(start, "a", "r", false)
	if got := describeActions(f.Tick(start)); got != "" {
		t.Errorf("%q at once", got)
	}
	if got := describeActions(f.SeedsEmpty(start.Add(20 * time.Millisecond))); got != "list" {
		t.Errorf("%q when no seed has any state", got)
	}
	first := newFollower(start, "a", "r", true)
	if got := describeActions(first.SeedsEmpty(start.Add(20 * time.Millisecond))); got != "" {
		t.Errorf("%q on the first start of the whole system, when one VM reads for all", got)
	}
}

// Guards against pulling from one peer thousands of times a second: the peer claims a revision,
// its pages do not reach it, and each page is followed by another pull.
func TestPeerBehindItsClaimIsNotPulledInALoop(t *testing.T) {
	f, now := reader()
	peer := Peer{VM: "b", Region: "r", Address: "b"}
	actions := f.PeerAnnounced(now, peer, at(99), 0)
	for range 3 {
		pulled := false
		for _, a := range actions {
			if p, ok := a.(Pull); ok {
				pulled = true
				actions = f.Pulled(now, p.ID, catalog.Page{At: at(10), After: at(10)})
			}
		}
		if !pulled {
			return
		}
	}
	t.Error("another pull follows each page")
}
