package catalog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against sending requests to an address that its upstream has left: another writer
// overwrites the upstream's entry with an invalid one, and the last valid entry stays in use.
// An invalid entry takes its upstream out of use and leaves the others alone.
func TestUnreadableEntryRemovesUpstream(t *testing.T) {
	for name, take := range map[string]func(*State) bool{
		"change": func(s *State) bool {
			changed, _ := s.Apply(start, at(10), at(11), []Item{put("up/a", "bad", 11)})
			return changed
		},
		"listing": func(s *State) bool {
			return s.Replace(start, at(11), []Item{put("config", "h", 3), put("up/a", "bad", 11), put("up/b", "s", 5)})
		},
	} {
		s := sampleState()
		if changed := take(s); !changed || ids(s, "s") != "b" {
			t.Errorf("%s: changed %v, upstreams %q", name, changed, ids(s, "s"))
		}
		if changed, _ := s.Apply(start, at(11), at(12), []Item{put("up/a", "s", 12)}); !changed || ids(s, "s") != "a,b" {
			t.Errorf("%s: after a valid entry: %q", name, ids(s, "s"))
		}
	}
}

// Guards against filling the log: another writer renews an invalid entry every second and each
// version is reported, not only each change of the error.
func TestRepeatedRejectionIsReportedOnce(t *testing.T) {
	s := sampleState()
	reported := 0
	for r := uint64(11); r < 31; r++ {
		s.Apply(start, at(r-1), at(r), []Item{put("up/a", "bad", r)})
		for _, x := range s.TakeRejected() {
			if !x.Repeated {
				reported++
			}
		}
	}
	if reported != 1 {
		t.Errorf("reported %d times", reported)
	}
	s.Apply(start, at(30), at(32), []Item{put("up/a", "s", 31), put("up/a", "bad", 32)})
	if x := s.TakeRejected(); len(x) != 1 || x[0].Repeated {
		t.Errorf("after a valid entry in between: %+v", x)
	}
}

// Guards against treating a restarted upstream as its former process: the store accepts the
// last entry of the old process after the first entry of the new one, and the later write wins.
func TestEntryOfEarlierStartIsIgnored(t *testing.T) {
	s := sampleState()
	s.Apply(start, at(10), at(11), []Item{put("up/a", "s 200", 11)})
	if changed, _ := s.Apply(start, at(11), at(12), []Item{put("up/a", "s leaving 100", 12)}); changed {
		t.Error("an entry of an earlier start counts as a change")
	}
	u := s.View().Upstreams["a"]
	if u == nil || u.Leaving || u.StartedAt != time.Unix(200, 0) {
		t.Errorf("%+v", u)
	}
	behind := sampleState()
	changes, _ := s.ChangesSince(at(10))
	behind.Apply(start, at(10), s.Position(), changes)
	if got := behind.View().Upstreams["a"]; got == nil || *got != *u {
		t.Errorf("a VM that missed both entries holds %+v", got)
	}
}

func TestLaterStartIsAChange(t *testing.T) {
	s := sampleState()
	s.Apply(start, at(10), at(11), []Item{put("up/a", "s 100", 11)})
	if changed, _ := s.Apply(start, at(11), at(12), []Item{put("up/a", "s 200", 12)}); !changed {
		t.Error("a later start under the same ID does not count as a change")
	}
}

// Whatever other writers put among the entries, a VM that follows the changes, one that gets
// them from a peer in pages and one that starts from a peer's state reach the same state.
func TestInvalidEntriesLeaveSameStateOnAllVMs(t *testing.T) {
	values := []string{"s", "s leaving", "other", "", "bad", "s 100", "s 200"}
	rapid.Check(t, func(t *rapid.T) {
		store, pulled := sampleState(), sampleState()
		for r := uint64(11); r < uint64(rapid.IntRange(12, 60).Draw(t, "end")); r++ {
			id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")
			value := rapid.SampledFrom(values).Draw(t, "value")
			store.Apply(start, at(r-1), at(r), []Item{put("up/"+id, value, r)})
			if rapid.Bool().Draw(t, "pull") {
				page := store.PageSince(pulled.Position())
				pulled.Apply(start, page.After, page.At, page.Items)
			}
		}
		page := store.PageSince(pulled.Position())
		pulled.Apply(start, page.After, page.At, page.Items)
		listed := New(start, testDecoder{})
		items := store.Items()
		shuffle(items, rapid.Uint64().Draw(t, "order"))
		listed.Replace(start, store.Position(), items)
		for name, s := range map[string]*State{"pulled": pulled, "listed": listed} {
			if got, want := describeUpstreams(s), describeUpstreams(store); got != want {
				t.Fatalf("%s holds %s, want %s", name, got, want)
			}
		}
	})
}

// An invalid entry affects only its own upstream.
func TestInvalidEntryAffectsNoOtherEntry(t *testing.T) {
	s := sampleState()
	for r := uint64(11); r < 20; r++ {
		s.Apply(start, at(r-1), at(r), []Item{put("up/x", "bad", r), put("up/a", "", r)})
		if got := ids(s, "s"); got != "b" {
			t.Fatalf("%q", got)
		}
	}
}

// An upstream that has reported its start time always does; an entry without it comes from
// another writer.
func TestEntryWithoutStartTimeIsRejectedAfterOneWithIt(t *testing.T) {
	s := sampleState()
	s.Apply(start, at(10), at(12), []Item{put("up/a", "s 200", 11), put("up/a", "s", 12)})
	if got := ids(s, "s"); got != "b" {
		t.Errorf("%q", got)
	}
	if x := s.TakeRejected(); len(x) != 1 || x[0].Key != "up/a" {
		t.Errorf("%+v", x)
	}
}

func shuffle(items []Item, seed uint64) {
	rand.New(rand.NewPCG(seed, 1)).Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
}

// describeUpstreams formats the view's upstreams for comparison.
func describeUpstreams(s *State) string {
	var out []string
	for id, u := range s.View().Upstreams {
		out = append(out, fmt.Sprint(id, *u))
	}
	slices.Sort(out)
	return fmt.Sprint(out)
}
