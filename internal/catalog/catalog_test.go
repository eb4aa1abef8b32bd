package catalog

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamorekeel.example/sycamorekeel/internal/routing"
)

var start = time.Unix(1000, 0)

// testDecoder decodes "config" items as a configuration whose version is the item's revision,
// "up/" items as upstreams and "evacuate/" items as evacuations.
type testDecoder struct{}

func (testDecoder) Kind(key string) Kind {
	switch {
	case key == "config":
		return Configuration
	case strings.HasPrefix(key, "up/"):
		return Registration
	case strings.HasPrefix(key, "evacuate/"):
		return Evacuation
	}
	return Other
}

func (testDecoder) Evacuated(key string) string { return strings.TrimPrefix(key, "evacuate/") }

func (testDecoder) Config(it Item) (*routing.Config, error) {
	if string(it.Value) == "bad" {
		return nil, errors.New("bad")
	}
	return &routing.Config{Version: it.Revision}, nil
}

// Upstream decodes a service name followed by optional words: "leaving", "in-" with a data
// centre, or a start time in seconds.
func (testDecoder) Upstream(it Item) (Upstream, error) {
	words := strings.Fields(string(it.Value))
	if len(words) == 0 || words[0] == "bad" {
		return Upstream{}, errors.New("not an upstream entry")
	}
	u := Upstream{ID: strings.TrimPrefix(it.Key, "up/"), Service: words[0]}
	for _, word := range words[1:] {
		if born, err := strconv.Atoi(word); err == nil {
			u.StartedAt = time.Unix(int64(born), 0)
		}
		u.Leaving = u.Leaving || word == "leaving"
		if dataCentre, ok := strings.CutPrefix(word, "in-"); ok {
			u.DataCentre = dataCentre
		}
	}
	return u, nil
}

func put(key, value string, revision uint64) Item {
	return Item{Key: key, Value: []byte(value), Revision: revision}
}

// at returns a position in era 0, for a store that reports no eras.
func at(revision uint64) Position { return Position{Revision: revision} }

func deleted(key string, revision uint64) Item {
	return Item{Key: key, Revision: revision, Deleted: true}
}

func ids(s *State, service string) string {
	var out []string
	for _, u := range s.View().Services[service] {
		out = append(out, u.ID)
	}
	return strings.Join(out, ",")
}

func sampleState() *State {
	s := New(start, testDecoder{})
	s.StoreAnswered(start)
	s.Replace(start, at(10), []Item{put("config", "h", 3), put("up/a", "s", 4), put("up/b", "s", 5)})
	return s
}

func TestApply(t *testing.T) {
	for _, c := range []struct {
		name    string
		after   uint64
		changes []Item
		applied bool
		want    string
	}{
		{"a new upstream", 10, []Item{put("up/c", "s", 11)}, true, "a,b,c"},
		{"a leaving upstream takes no work", 10, []Item{put("up/a", "s leaving", 11)}, true, "b"},
		{"a deregistered upstream", 10, []Item{deleted("up/a", 11)}, true, "b"},
		{"an older change of a known item", 2, []Item{put("up/a", "t", 3)}, true, "a,b"},
		{"an older deletion", 2, []Item{deleted("up/a", 3)}, true, "a,b"},
		{"a gap", 12, []Item{put("up/c", "s", 13)}, false, "a,b"},
	} {
		s := sampleState()
		_, applied := s.Apply(start, at(c.after), at(13), c.changes)
		if got := ids(s, "s"); got != c.want || applied != c.applied {
			t.Errorf("%s: %s (applied %v), want %s (%v)", c.name, got, applied, c.want, c.applied)
		}
	}
}

func TestReplace(t *testing.T) {
	s := sampleState()
	s.Replace(start, at(20), []Item{put("config", "h", 3), put("up/b", "s", 5), put("up/c", "s", 21)})
	if got := ids(s, "s"); got != "b,c" {
		t.Errorf("after the listing: %s", got)
	}
	if s.Replace(start, at(19), nil); ids(s, "s") != "b,c" {
		t.Error("an older listing removed upstreams")
	}
}

// Guards against routing by an older configuration: an older listing, a page of a peer that is
// behind, a deletion or an invalid version arrives after a newer version is in force and is
// taken for the newest.
func TestConfigurationNeverMovesBackwards(t *testing.T) {
	s := sampleState()
	s.Apply(start, at(10), at(12), []Item{put("config", "h", 12)})
	s.Apply(start, at(10), at(11), []Item{put("config", "h", 11)})
	s.Apply(start, at(12), at(13), []Item{deleted("config", 13)})
	s.Apply(start, at(13), at(14), []Item{put("config", "bad", 14)})
	if v := s.View().Table.Version(); v != 12 {
		t.Errorf("version %d in force, want 12", v)
	}
	if r := s.TakeRejected(); len(r) != 1 || r[0].Revision != 14 {
		t.Errorf("rejected %v, want the invalid version", r)
	}
}

// Guards against refusing every request for two seconds when the store recovers: during an
// outage longer than the entries' lifetime the entries expire, the upstreams register again two
// seconds after the recovery, and the expiry is mistaken for the end of the upstreams.
func TestEntriesExpiredDuringOutageAreKeptForGracePeriod(t *testing.T) {
	s := sampleState()
	away := start.Add(4 * time.Second)
	s.StoreFailed(away)
	back := away.Add(time.Second)
	s.Apply(back, at(10), at(12), []Item{deleted("up/a", 11), deleted("up/b", 12)})
	s.StoreAnswered(back)
	if got := ids(s, "s"); got != "a,b" {
		t.Fatalf("at the recovery: %q", got)
	}
	s.Apply(back.Add(time.Second), at(12), at(13), []Item{put("up/b", "s", 13)})
	s.Tick(back.Add(2 * time.Second))
	if got := ids(s, "s"); got != "a,b" {
		t.Errorf("two seconds after the recovery: %q", got)
	}
	s.Tick(back.Add(2500 * time.Millisecond))
	if got := ids(s, "s"); got != "b" {
		t.Errorf("after the grace period: %q, want only the one that registered again", got)
	}
	s.Apply(back.Add(3*time.Second), at(13), at(14), []Item{deleted("up/b", 14)})
	if got := ids(s, "s"); got != "" {
		t.Errorf("after a deletion without an outage: %q", got)
	}
}

func TestSingleFailedReadIsNoOutage(t *testing.T) {
	s := sampleState()
	s.StoreFailed(start.Add(time.Second))
	s.Apply(start.Add(time.Second), at(10), at(11), []Item{deleted("up/a", 11)})
	if got := ids(s, "s"); got != "b" {
		t.Errorf("%q", got)
	}
}

// A peer that is slightly behind gets the changes it lacks, deletions included, and reaches the
// same state. For a peer that is further behind the changes are reported as incomplete.
func TestChangesSince(t *testing.T) {
	s := sampleState()
	s.Apply(start, at(10), at(12), []Item{deleted("up/a", 11), put("up/c", "s", 12)})
	peer := sampleState()
	changes, ok := s.ChangesSince(peer.Position())
	if !ok {
		t.Fatal("the changes above the peer's revision are incomplete")
	}
	peer.Apply(start, peer.Position(), s.Position(), changes)
	if ids(peer, "s") != ids(s, "s") || peer.Revision() != 12 {
		t.Errorf("the peer has %q at %d", ids(peer, "s"), peer.Revision())
	}
	if _, ok := s.ChangesSince(at(9)); ok {
		t.Error("changes before the first listing are reported as complete")
	}
	for r := uint64(13); r < 13+2*maxDeletions; r++ {
		s.Apply(start, at(r-1), at(r), []Item{deleted(fmt.Sprintf("up/%d", r), r)})
	}
	if _, ok := s.ChangesSince(at(12)); ok {
		t.Error("more than maxDeletions deletions are held")
	}
}

// A document that is replaced many times takes no more space in a page or in memory than one
// version of it.
func TestChangesSinceHasOnlyNewestVersion(t *testing.T) {
	s := sampleState()
	for r := uint64(11); r <= 100; r++ {
		s.Apply(start, at(r-1), at(r), []Item{put("config", fmt.Sprint(r), r)})
	}
	changes, ok := s.ChangesSince(at(10))
	if !ok || len(changes) != 1 || changes[0].Revision != 100 {
		t.Errorf("%v %v", changes, ok)
	}
}

// Guards against one VM staying at an older configuration than the others for good: a good
// version is published, then one that is rejected, and a VM that missed both asks a peer that
// passes on only the newest version.
func TestPagesIncludeConfigurationInForce(t *testing.T) {
	s := sampleState()
	s.Apply(start, at(10), at(12), []Item{put("config", "good", 11), put("config", "bad", 12)})
	behind, fresh := sampleState(), New(start, testDecoder{})
	changes, _ := s.ChangesSince(at(10))
	behind.Apply(start, at(10), at(12), changes)
	fresh.Replace(start, s.Position(), s.Items())
	for name, peer := range map[string]*State{"behind": behind, "fresh": fresh} {
		if c := peer.View().Config; c == nil || c.Version != 11 || peer.Revision() != 12 {
			t.Errorf("%s: %+v at %d", name, c, peer.Revision())
		}
	}
}

// Of versions that arrive in one batch only the newest is decoded, and an older one only if the
// newer ones are rejected.
func TestOnlyNewestOfBatchedVersionsIsDecoded(t *testing.T) {
	for name, c := range map[string]struct {
		values  []string
		want    uint64
		decoded int
	}{
		"all good":          {[]string{"a", "b", "c"}, 13, 1},
		"the newest is bad": {[]string{"a", "b", "bad"}, 12, 2},
		"all bad":           {[]string{"bad", "bad"}, 3, 2},
	} {
		d := &countingDecoder{}
		s := New(start, d)
		s.Replace(start, at(10), []Item{put("config", "h", 3)})
		d.decoded = 0
		var changes []Item
		for i, v := range c.values {
			changes = append(changes, put("config", v, uint64(11+i)))
		}
		changed, _ := s.Apply(start, at(10), at(13), changes)
		if got := s.View().Config.Version; got != c.want || d.decoded != c.decoded || changed != (c.want > 3) {
			t.Errorf("%s: version %d, %d decoded, changed %v", name, got, d.decoded, changed)
		}
	}
}

// countingDecoder counts the configurations it decodes.
type countingDecoder struct {
	testDecoder
	decoded int
}

func (d *countingDecoder) Config(it Item) (*routing.Config, error) {
	d.decoded++
	return d.testDecoder.Config(it)
}

// For any sequence of writes, deletions and rewrites, a peer complete up to any earlier
// revision of this VM or of another one holds the same items as the sender after its page,
// whether the sender learnt of them from changes or from listings.
func TestPageBringsPeerToSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, s, revision := sampleState(), sampleState(), uint64(10)
		peers := []*State{sampleState()}
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			revision++
			key := rapid.SampledFrom([]string{"config", "up/a", "up/b", "up/c", "other"}).Draw(t, "key")
			change := put(key, fmt.Sprintf("s %d", revision), revision)
			if rapid.Bool().Draw(t, "deleted") {
				change = deleted(key, revision)
			}
			store.Apply(start, at(revision-1), at(revision), []Item{change})
			switch rapid.SampledFrom([]string{"nothing", "listing", "changes"}).Draw(t, "read") {
			case "listing":
				s.Replace(start, store.Position(), store.Items())
			case "changes":
				r := s.Revision()
				missed, ok := store.ChangesSince(at(r))
				if !ok {
					t.Fatal("the changes of the store model are incomplete")
				}
				s.Apply(start, at(r), at(revision), missed)
			}
			if rapid.Bool().Draw(t, "keep") {
				peers = append(peers, cloneState(s), cloneState(store))
			}
		}
		for _, peer := range peers {
			if peer.Revision() > s.Revision() {
				continue
			}
			page := s.PageSince(peer.Position())
			if page.Whole {
				peer.Replace(start, page.At, page.Items)
			} else {
				peer.Apply(start, page.After, page.At, page.Items)
			}
			if !sameItems(peer, s) || ids(peer, "s") != ids(s, "s") {
				t.Fatalf("the peer from %v has %v, the sender %v", page.After, peer.items, s.items)
			}
		}
	})
}

// cloneState returns a new VM's state with the same items.
func cloneState(s *State) *State {
	out := New(start, testDecoder{})
	out.Replace(start, s.Position(), s.Items())
	return out
}

func sameItems(a, b *State) bool {
	return slices.EqualFunc(a.Items(), b.Items(), func(i, j Item) bool { return i.Key == j.Key && i.Revision == j.Revision })
}

// Guards against sending requests for good to the address of a deregistered upstream: a VM asks
// a peer or the store for changes, a second answer with the upstream's deletion arrives first,
// and then the first answer arrives with the upstream's entry. The state is complete up to its
// revision, so an older change of an item that is not held has been undone since.
func TestLateAnswerDoesNotReviveDeletedItem(t *testing.T) {
	s := sampleState()
	s.Apply(start, at(10), at(13), []Item{put("up/c", "s", 11), deleted("up/c", 12)})
	if changed, applied := s.Apply(start, at(10), at(11), []Item{put("up/c", "s", 11)}); changed || !applied {
		t.Errorf("changed %v, applied %v", changed, applied)
	}
	if got := ids(s, "s"); got != "a,b" || s.Revision() != 13 {
		t.Errorf("%q at %d", got, s.Revision())
	}
}

// Guards against one VM using a deregistered upstream for good: the VM asks a peer for changes
// above its revision, a listing of the store then advances it with a new upstream's entry, the
// upstream deregisters, and the peer, which never saw it, answers with a later position. A page
// holds only the newest versions, so applied above the requested revision it would advance the
// revision without the deletion.
func TestPageAppliesOnlyAtRequestedPosition(t *testing.T) {
	s, peer := sampleState(), sampleState()
	peer.Replace(start, at(12), []Item{put("config", "h", 3), put("up/a", "s", 4), put("up/b", "s", 5)})
	page := peer.PageSince(s.Position())
	s.Replace(start, at(11), []Item{put("config", "h", 3), put("up/a", "s", 4), put("up/b", "s", 5), put("up/c", "s", 11)})
	if changed, applied := s.ApplyPage(start, page); changed || applied || s.Revision() != 11 {
		t.Errorf("changed %v, applied %v, revision %d", changed, applied, s.Revision())
	}
	if _, applied := s.ApplyPage(start, peer.PageSince(s.Position())); !applied || ids(s, "s") != "a,b" || s.Revision() != 12 {
		t.Errorf("the next page: applied %v, %q at %d", applied, ids(s, "s"), s.Revision())
	}
}

// Guards against holding a deregistered upstream for good, on a VM that receives the changes
// from a peer whose own source listed the store in between.
func TestPageForwardsListingGaps(t *testing.T) {
	lister, between, behind := sampleState(), sampleState(), sampleState()
	behind.Apply(start, at(10), at(11), []Item{put("up/c", "s", 11)})
	lister.Replace(start, at(13), []Item{put("config", "h", 13), put("up/a", "s", 4), put("up/b", "s", 5)})
	between.ApplyPage(start, lister.PageSince(between.Position()))
	if behind.ApplyPage(start, between.PageSince(behind.Position())); behind.Position() != at(13) || ids(behind, "s") != "a,b" {
		t.Errorf("%s at %v", ids(behind, "s"), behind.Position())
	}
	if page := between.PageSince(at(13)); page.Whole {
		t.Error("a peer after the gap gets a whole page")
	}
}
