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

// plain decodes "config" items as a host and "up/" items as a service.
type plain struct{}

func (plain) Kind(key string) Kind {
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

func (plain) Evacuated(key string) string { return strings.TrimPrefix(key, "evacuate/") }

func (plain) Config(it Item) (*routing.Config, error) {
	if string(it.Value) == "bad" {
		return nil, errors.New("bad")
	}
	return &routing.Config{Version: it.Revision}, nil
}

// Upstream reads a service and words after it: "leaving", "in-" and a data centre, or a birth
// in seconds.
func (plain) Upstream(it Item) (Upstream, error) {
	words := strings.Fields(string(it.Value))
	if len(words) == 0 || words[0] == "bad" {
		return Upstream{}, errors.New("no entry of an upstream")
	}
	u := Upstream{ID: strings.TrimPrefix(it.Key, "up/"), Service: words[0]}
	for _, word := range words[1:] {
		if born, err := strconv.Atoi(word); err == nil {
			u.Born = time.Unix(int64(born), 0)
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

// at is a position in the only era of a store that tells none.
func at(revision uint64) Position { return Position{Revision: revision} }

func gone(key string, revision uint64) Item {
	return Item{Key: key, Revision: revision, Deleted: true}
}

func ids(s *State, service string) string {
	var out []string
	for _, u := range s.View().Services[service] {
		out = append(out, u.ID)
	}
	return strings.Join(out, ",")
}

func filled() *State {
	s := New(start, plain{})
	s.Answered(start)
	s.Replace(start, at(10), []Item{put("config", "h", 3), put("up/a", "s", 4), put("up/b", "s", 5)})
	return s
}

func TestApply(t *testing.T) {
	for _, c := range []struct {
		name    string
		after   uint64
		changes []Item
		joined  bool
		want    string
	}{
		{"a new upstream", 10, []Item{put("up/c", "s", 11)}, true, "a,b,c"},
		{"one that leaves takes no work", 10, []Item{put("up/a", "s leaving", 11)}, true, "b"},
		{"one that is gone", 10, []Item{gone("up/a", 11)}, true, "b"},
		{"an older change of what is known", 2, []Item{put("up/a", "t", 3)}, true, "a,b"},
		{"an older deletion", 2, []Item{gone("up/a", 3)}, true, "a,b"},
		{"a gap", 12, []Item{put("up/c", "s", 13)}, false, "a,b"},
	} {
		s := filled()
		_, joined := s.Apply(start, at(c.after), at(13), c.changes)
		if got := ids(s, "s"); got != c.want || joined != c.joined {
			t.Errorf("%s: %s (joined %v), want %s (%v)", c.name, got, joined, c.want, c.joined)
		}
	}
}

func TestReplace(t *testing.T) {
	s := filled()
	s.Replace(start, at(20), []Item{put("config", "h", 3), put("up/b", "s", 5), put("up/c", "s", 21)})
	if got := ids(s, "s"); got != "b,c" {
		t.Errorf("after the listing: %s", got)
	}
	if s.Replace(start, at(19), nil); ids(s, "s") != "b,c" {
		t.Error("an older listing took upstreams out")
	}
}

// Symptom: requests are routed as an older configuration says.
// Sequence: a newer one is in force; an older listing, a page of a peer that is
// behind, a deletion or a faulty one comes.
// Cause: the last one that came was taken for the newest.
func TestTheConfigurationNeverGoesBack(t *testing.T) {
	s := filled()
	s.Apply(start, at(10), at(12), []Item{put("config", "h", 12)})
	s.Apply(start, at(10), at(11), []Item{put("config", "h", 11)})
	s.Apply(start, at(12), at(13), []Item{gone("config", 13)})
	s.Apply(start, at(13), at(14), []Item{put("config", "bad", 14)})
	if v := s.View().Table.Version(); v != 12 {
		t.Errorf("version %d in force, want 12", v)
	}
	if r := s.TakeRejected(); len(r) != 1 || r[0].Revision != 14 {
		t.Errorf("rejected %v, want the faulty one", r)
	}
}

// Symptom: at the return of the store every request is refused for two seconds.
// Sequence: the store is away for longer than entries last; they lapse, and are
// back two seconds after its return.
// Cause: the lapse was taken for the end of the upstreams.
func TestEntriesThatLapseInAnOutageAreKeptForAWhile(t *testing.T) {
	s := filled()
	away := start.Add(4 * time.Second)
	s.Failed(away)
	back := away.Add(time.Second)
	s.Apply(back, at(10), at(12), []Item{gone("up/a", 11), gone("up/b", 12)})
	s.Answered(back)
	if got := ids(s, "s"); got != "a,b" {
		t.Fatalf("at the return: %q", got)
	}
	s.Apply(back.Add(time.Second), at(12), at(13), []Item{put("up/b", "s", 13)})
	s.Tick(back.Add(2 * time.Second))
	if got := ids(s, "s"); got != "a,b" {
		t.Errorf("two seconds after: %q", got)
	}
	s.Tick(back.Add(2500 * time.Millisecond))
	if got := ids(s, "s"); got != "b" {
		t.Errorf("after the grace: %q, want only the one that came back", got)
	}
	s.Apply(back.Add(3*time.Second), at(13), at(14), []Item{gone("up/b", 14)})
	if got := ids(s, "s"); got != "" {
		t.Errorf("a deletion in calm times: %q", got)
	}
}

func TestOneLostAnswerIsNoOutage(t *testing.T) {
	s := filled()
	s.Failed(start.Add(time.Second))
	s.Apply(start.Add(time.Second), at(10), at(11), []Item{gone("up/a", 11)})
	if got := ids(s, "s"); got != "b" {
		t.Errorf("%q", got)
	}
}

// A peer that is a little behind gets the changes it lacks, deletions included,
// and ends with the same state; one that is further behind is told so.
func TestSince(t *testing.T) {
	s := filled()
	s.Apply(start, at(10), at(12), []Item{gone("up/a", 11), put("up/c", "s", 12)})
	peer := filled()
	changes, ok := s.Since(peer.Position())
	if !ok {
		t.Fatal("the changes above the peer's revision are not known")
	}
	peer.Apply(start, peer.Position(), s.Position(), changes)
	if ids(peer, "s") != ids(s, "s") || peer.Revision() != 12 {
		t.Errorf("the peer has %q at %d", ids(peer, "s"), peer.Revision())
	}
	if _, ok := s.Since(at(9)); ok {
		t.Error("changes before the first listing are not known")
	}
	for r := uint64(13); r < 13+2*keptDeletions; r++ {
		s.Apply(start, at(r-1), at(r), []Item{gone(fmt.Sprintf("up/%d", r), r)})
	}
	if _, ok := s.Since(at(12)); ok {
		t.Error("more deletions are kept than the bound")
	}
}

// A document that is replaced many times takes no more room in a page, and in memory,
// than one version of it.
func TestSinceHasOnlyTheNewestVersion(t *testing.T) {
	s := filled()
	for r := uint64(11); r <= 100; r++ {
		s.Apply(start, at(r-1), at(r), []Item{put("config", fmt.Sprint(r), r)})
	}
	changes, ok := s.Since(at(10))
	if !ok || len(changes) != 1 || changes[0].Revision != 100 {
		t.Errorf("%v %v", changes, ok)
	}
}

// Symptom: one VM goes on by an older configuration than the others, without end.
// Sequence: a good version is published, then one that is rejected; a VM that missed both
// asks a peer.
// Cause: the newest version alone was passed on, and the last good one was not.
func TestThePagesHoldTheConfigurationInForce(t *testing.T) {
	s := filled()
	s.Apply(start, at(10), at(12), []Item{put("config", "good", 11), put("config", "bad", 12)})
	behind, fresh := filled(), New(start, plain{})
	changes, _ := s.Since(at(10))
	behind.Apply(start, at(10), at(12), changes)
	fresh.Replace(start, s.Position(), s.Items())
	for name, peer := range map[string]*State{"behind": behind, "fresh": fresh} {
		if c := peer.View().Config; c == nil || c.Version != 11 || peer.Revision() != 12 {
			t.Errorf("%s: %+v at %d", name, c, peer.Revision())
		}
	}
}

// Of versions that come together only the newest is decoded, and an older one only where
// the newer are rejected.
func TestOfVersionsThatComeTogetherOneIsDecoded(t *testing.T) {
	for name, c := range map[string]struct {
		values  []string
		want    uint64
		decoded int
	}{
		"all good":          {[]string{"a", "b", "c"}, 13, 1},
		"the newest is bad": {[]string{"a", "b", "bad"}, 12, 2},
		"all bad":           {[]string{"bad", "bad"}, 3, 2},
	} {
		d := &counting{}
		s := New(start, d)
		s.Replace(start, at(10), []Item{put("config", "h", 3)})
		d.configs = 0
		var changes []Item
		for i, v := range c.values {
			changes = append(changes, put("config", v, uint64(11+i)))
		}
		changed, _ := s.Apply(start, at(10), at(13), changes)
		if got := s.View().Config.Version; got != c.want || d.configs != c.decoded || changed != (c.want > 3) {
			t.Errorf("%s: version %d, %d decoded, changed %v", name, got, d.configs, changed)
		}
	}
}

// counting counts the configurations that are decoded.
type counting struct {
	plain
	configs int
}

func (d *counting) Config(it Item) (*routing.Config, error) {
	d.configs++
	return d.plain.Config(it)
}

// Whatever was written, removed and written again: a peer that knew everything up to any
// earlier revision, from this giver or from another, holds after its page the very items of
// its giver, whether that one learnt of them by changes or by listings.
func TestSinceBringsAPeerToTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, s, revision := filled(), filled(), uint64(10)
		peers := []*State{filled()}
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			revision++
			key := rapid.SampledFrom([]string{"config", "up/a", "up/b", "up/c", "other"}).Draw(t, "key")
			change := put(key, fmt.Sprintf("s %d", revision), revision)
			if rapid.Bool().Draw(t, "deleted") {
				change = gone(key, revision)
			}
			store.Apply(start, at(revision-1), at(revision), []Item{change})
			switch rapid.SampledFrom([]string{"nothing", "listing", "changes"}).Draw(t, "read") {
			case "listing":
				s.Replace(start, store.Position(), store.Items())
			case "changes":
				r := s.Revision()
				missed, ok := store.Since(at(r))
				if !ok {
					t.Fatal("a model of a store that forgets")
				}
				s.Apply(start, at(r), at(revision), missed)
			}
			if rapid.Bool().Draw(t, "keep") {
				peers = append(peers, copyOf(s), copyOf(store))
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
				t.Fatalf("the peer from %v has %v, its giver %v", page.After, peer.items, s.items)
			}
		}
	})
}

// copyOf is a VM that holds what another does.
func copyOf(s *State) *State {
	out := New(start, plain{})
	out.Replace(start, s.Position(), s.Items())
	return out
}

func sameItems(a, b *State) bool {
	return slices.EqualFunc(a.Items(), b.Items(), func(i, j Item) bool { return i.Key == j.Key && i.Revision == j.Revision })
}

// Symptom: requests go to the address of an upstream that has gone, without end.
// Sequence: a VM asks a peer or the store for changes; before that answer is there, another
// one brings it further, with the upstream's deletion; then the first answer comes, with
// the upstream's entry of before.
// Cause: an item that is not held was taken for new. What is known up to a revision is
// complete: an older change that is not held has been undone since.
func TestALateAnswerRevivesNothing(t *testing.T) {
	s := filled()
	s.Apply(start, at(10), at(13), []Item{put("up/c", "s", 11), gone("up/c", 12)})
	if changed, joined := s.Apply(start, at(10), at(11), []Item{put("up/c", "s", 11)}); changed || !joined {
		t.Errorf("changed %v, joined %v", changed, joined)
	}
	if got := ids(s, "s"); got != "a,b" || s.Revision() != 13 {
		t.Errorf("%q at %d", got, s.Revision())
	}
}

// Symptom: an upstream that has gone is used on, by one VM alone and without end.
// Sequence: a VM asks a peer for what is above its revision; before the page is there, the
// store's listing brings it further, with a new upstream's entry; the upstream goes; the
// peer, which never saw it, answers as of after that.
// Cause: a page has the newest versions and no trace of what came and went since the
// revision that it was asked for; taken in later than that, it brings the revision and not
// the deletion.
func TestAPageJoinsOnlyWhereItWasAskedFor(t *testing.T) {
	s, peer := filled(), filled()
	peer.Replace(start, at(12), []Item{put("config", "h", 3), put("up/a", "s", 4), put("up/b", "s", 5)})
	page := peer.PageSince(s.Position())
	s.Replace(start, at(11), []Item{put("config", "h", 3), put("up/a", "s", 4), put("up/b", "s", 5), put("up/c", "s", 11)})
	if changed, joined := s.Take(start, page); changed || joined || s.Revision() != 11 {
		t.Errorf("changed %v, joined %v, revision %d", changed, joined, s.Revision())
	}
	if _, joined := s.Take(start, peer.PageSince(s.Position())); !joined || ids(s, "s") != "a,b" || s.Revision() != 12 {
		t.Errorf("the next page: joined %v, %q at %d", joined, ids(s, "s"), s.Revision())
	}
}

// Guards against an upstream that is gone and is held for good by a VM that was given the
// changes by a peer whose own giver has listed the store in between.
func TestAGapIsPassedOnWithThePage(t *testing.T) {
	lister, between, behind := filled(), filled(), filled()
	behind.Apply(start, at(10), at(11), []Item{put("up/c", "s", 11)})
	lister.Replace(start, at(13), []Item{put("config", "h", 13), put("up/a", "s", 4), put("up/b", "s", 5)})
	between.Take(start, lister.PageSince(between.Position()))
	if behind.Take(start, between.PageSince(behind.Position())); behind.Position() != at(13) || ids(behind, "s") != "a,b" {
		t.Errorf("%s at %v", ids(behind, "s"), behind.Position())
	}
	if page := between.PageSince(at(13)); page.Whole {
		t.Error("a peer after the gap is given everything")
	}
}
