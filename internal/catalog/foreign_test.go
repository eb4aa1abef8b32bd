package catalog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Symptom: requests go on to an address that its upstream has left.
// Sequence: another writer overwrites the upstream's entry with something that is none.
// Cause: the last entry that could be read was taken to hold on. An entry that cannot be
// read names no upstream; the others hold.
func TestAnEntryThatCannotBeReadNamesNoUpstream(t *testing.T) {
	for name, take := range map[string]func(*State) bool{
		"change": func(s *State) bool {
			changed, _ := s.Apply(start, at(10), at(11), []Item{put("up/a", "bad", 11)})
			return changed
		},
		"listing": func(s *State) bool {
			return s.Replace(start, at(11), []Item{put("config", "h", 3), put("up/a", "bad", 11), put("up/b", "s", 5)})
		},
	} {
		s := filled()
		if changed := take(s); !changed || ids(s, "s") != "b" {
			t.Errorf("%s: changed %v, upstreams %q", name, changed, ids(s, "s"))
		}
		if changed, _ := s.Apply(start, at(11), at(12), []Item{put("up/a", "s", 12)}); !changed || ids(s, "s") != "a,b" {
			t.Errorf("%s: after its own entry is back: %q", name, ids(s, "s"))
		}
	}
}

// Symptom: an entry written anew each second fills the log.
// Sequence: another writer renews an entry that cannot be read.
// Cause: each version was told of, not each change of what is wrong with it.
func TestARejectedEntryIsToldOfOnce(t *testing.T) {
	s := filled()
	told := 0
	for r := uint64(11); r < 31; r++ {
		s.Apply(start, at(r-1), at(r), []Item{put("up/a", "bad", r)})
		for _, x := range s.TakeRejected() {
			if !x.Repeated {
				told++
			}
		}
	}
	if told != 1 {
		t.Errorf("told of %d times", told)
	}
	s.Apply(start, at(30), at(32), []Item{put("up/a", "s", 31), put("up/a", "bad", 32)})
	if x := s.TakeRejected(); len(x) != 1 || x[0].Repeated {
		t.Errorf("after a good entry between: %+v", x)
	}
}

// Symptom: an upstream that has started again is taken for its former self.
// Sequence: the last entry that its former process wrote is accepted after the first one
// of the new process.
// Cause: the later write won. An entry of an earlier start changes nothing.
func TestAnEntryOfAnEarlierStartChangesNothing(t *testing.T) {
	s := filled()
	s.Apply(start, at(10), at(11), []Item{put("up/a", "s 200", 11)})
	if changed, _ := s.Apply(start, at(11), at(12), []Item{put("up/a", "s leaving 100", 12)}); changed {
		t.Error("counts as a change")
	}
	u := s.View().Upstreams["a"]
	if u == nil || u.Leaving || u.Born != time.Unix(200, 0) {
		t.Errorf("%+v", u)
	}
	behind := filled()
	changes, _ := s.Since(at(10))
	behind.Apply(start, at(10), s.Position(), changes)
	if got := behind.View().Upstreams["a"]; got == nil || *got != *u {
		t.Errorf("a VM that missed both holds %+v", got)
	}
}

func TestALaterStartIsAChange(t *testing.T) {
	s := filled()
	s.Apply(start, at(10), at(11), []Item{put("up/a", "s 100", 11)})
	if changed, _ := s.Apply(start, at(11), at(12), []Item{put("up/a", "s 200", 12)}); !changed {
		t.Error("a later start under the same id is no change")
	}
}

// Whatever other writers put among the entries, a VM that follows the changes, one that is
// given them by a peer in pages and one that starts anew from a peer come to hold the same.
func TestForeignEntriesLeaveTheSameStateEverywhere(t *testing.T) {
	values := []string{"s", "s leaving", "other", "", "bad", "s 100", "s 200"}
	rapid.Check(t, func(t *rapid.T) {
		store, pulled := filled(), filled()
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
		listed := New(start, plain{})
		items := store.Items()
		shuffle(items, rapid.Uint64().Draw(t, "order"))
		listed.Replace(start, store.Position(), items)
		for name, s := range map[string]*State{"pulled": pulled, "listed": listed} {
			if got, want := describe(s), describe(store); got != want {
				t.Fatalf("%s holds %s, the others %s", name, got, want)
			}
		}
	})
}

// An entry that cannot be read touches no other one.
func TestForeignEntriesTouchNoOther(t *testing.T) {
	s := filled()
	for r := uint64(11); r < 20; r++ {
		s.Apply(start, at(r-1), at(r), []Item{put("up/x", "bad", r), put("up/a", "", r)})
		if got := ids(s, "s"); got != "b" {
			t.Fatalf("%q", got)
		}
	}
}

// An upstream that has said when it started always does: an entry that does not is another
// writer's.
func TestAnEntryThatNoLongerTellsItsBirth(t *testing.T) {
	s := filled()
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

// describe is a view's upstreams in words.
func describe(s *State) string {
	var out []string
	for id, u := range s.View().Upstreams {
		out = append(out, fmt.Sprint(id, *u))
	}
	slices.Sort(out)
	return fmt.Sprint(out)
}
