package catalog

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamorekeel.example/sycamorekeel/internal/routing"
)

// versioned decodes a configuration as its version, behind a "v".
type versioned struct{ plain }

func (versioned) Config(it Item) (*routing.Config, error) {
	version, err := strconv.ParseUint(strings.TrimPrefix(string(it.Value), "v"), 10, 64)
	return &routing.Config{Version: version}, err
}

// in is items as the store tells them in an era.
func in(era uint64, items ...Item) []Item {
	for i := range items {
		items[i].Era = era
	}
	return items
}

// ofEra is a position in an era.
func ofEra(era, revision uint64) Position { return Position{Era: era, Revision: revision} }

// beforeTheCopy is a state of a store's first era.
func beforeTheCopy() *State {
	s := New(start, versioned{})
	s.Answered(start)
	s.Replace(start, ofEra(1, 10), in(1, put("config", "v23", 8), put("up/a", "s", 4), put("up/b", "s", 5)))
	return s
}

// fresh is a VM that starts with what a peer has.
func fresh(peer *State) *State {
	s := New(start, versioned{})
	s.Take(start, peer.PageSince(Position{}))
	return s
}

// Guards against a route that is served and then no longer, as the store came back from a
// copy with an older version of the configuration.
func TestAnOlderVersionOfALaterEraDoesNotComeIntoForce(t *testing.T) {
	s := beforeTheCopy()
	s.Replace(start, ofEra(2, 7), in(2, put("config", "v20", 6), put("up/a", "s", 4), put("up/b", "s", 5)))
	for name, vm := range map[string]*State{"listed": s, "from a peer": fresh(s)} {
		if got := vm.View().Config.Version; got != 23 {
			t.Errorf("%s: version %d after 23", name, got)
		}
		vm.Apply(start, ofEra(2, 7), ofEra(2, 8), in(2, put("config", "v23", 8)))
		vm.Apply(start, ofEra(2, 8), ofEra(2, 9), in(2, put("config", "v27", 9)))
		if got := vm.View().Config.Version; got != 27 {
			t.Errorf("%s: version %d where the store has 27", name, got)
		}
	}
}

// Guards against upstreams that live and are given up, as the store came back from a copy in
// which they have not registered yet.
func TestUpstreamsThatACopyLacksAreKeptForAWhile(t *testing.T) {
	s := beforeTheCopy()
	s.Apply(start, ofEra(1, 10), ofEra(1, 12), in(1, put("up/c", "s", 11), put("up/d", "s", 12)))
	s.Replace(start, ofEra(2, 10), in(2, put("config", "v23", 8), put("up/a", "s", 4), put("up/b", "s", 5)))
	if got := ids(s, "s"); got != "a,b,c,d" {
		t.Errorf("at once: %s", got)
	}
	s.Apply(start, ofEra(2, 10), ofEra(2, 11), in(2, put("up/d", "s", 11)))
	s.Tick(start.Add(returnGrace - time.Millisecond))
	if got := ids(s, "s"); got != "a,b,c,d" {
		t.Errorf("within the grace: %s", got)
	}
	if !s.Tick(start.Add(returnGrace)) || ids(s, "s") != "a,b,d" {
		t.Errorf("after the grace: %s", ids(s, "s"))
	}
}

// Guards against work for an evacuated data centre, as the store came back from a copy in
// which its evacuation has not begun.
func TestAnEvacuationThatACopyLacksHoldsForAWhile(t *testing.T) {
	copied := in(2, put("config", "v23", 8), put("up/a", "s in-x", 4), put("up/b", "s in-y", 5))
	evacuated := func() *State {
		s := beforeTheCopy()
		s.Apply(start, ofEra(1, 10), ofEra(1, 13), in(1, put("up/a", "s in-x", 11), put("up/b", "s in-y", 12), put("evacuate/x", "{}", 13)))
		s.Replace(start, ofEra(2, 10), copied)
		return s
	}
	s := evacuated()
	if got := ids(s, "s"); got != "b" {
		t.Errorf("at once: %s", got)
	}
	if !s.Tick(start.Add(returnGrace)) || ids(s, "s") != "a,b" {
		t.Errorf("not written again: %s", ids(s, "s"))
	}
	s = evacuated()
	s.Apply(start, ofEra(2, 10), ofEra(2, 11), in(2, put("evacuate/x", "{}", 11)))
	s.Tick(start.Add(returnGrace))
	if got := ids(s, "s"); got != "b" {
		t.Errorf("written again: %s", got)
	}
	s.Apply(start, ofEra(2, 11), ofEra(2, 12), in(2, gone("evacuate/x", 12)))
	if got := ids(s, "s"); got != "a,b" {
		t.Errorf("taken back: %s", got)
	}
}

// Guards against work for an upstream that is leaving, as the store came back from a copy in
// which it is not yet.
func TestAnUpstreamThatLeavesGoesOnLeavingInALaterEra(t *testing.T) {
	s := beforeTheCopy()
	s.Apply(start, ofEra(1, 10), ofEra(1, 11), in(1, put("up/a", "s leaving", 11)))
	s.Replace(start, ofEra(2, 10), in(2, put("config", "v23", 8), put("up/a", "s", 4), put("up/b", "s", 5)))
	for name, vm := range map[string]*State{"listed": s, "from a peer": fresh(s)} {
		if u := vm.View().Upstreams["a"]; u == nil || !u.Leaving {
			t.Errorf("%s: %+v", name, u)
		}
	}
	s.Apply(start, ofEra(2, 10), ofEra(2, 11), in(2, put("up/a", "s leaving", 11)))
	if got := ids(s, "s"); got != "b" {
		t.Errorf("after it has told so again: %s", got)
	}
	s.Apply(start, ofEra(2, 11), ofEra(2, 12), in(2, put("up/a", "s 100", 12)))
	if got := ids(s, "s"); got != "a,b" {
		t.Errorf("after a later start: %s", got)
	}
}

// Guards against work for an upstream that is gone, as the store came back from a copy in
// which its entry has not lapsed yet.
func TestAnUpstreamThatIsGoneStaysSoInACopy(t *testing.T) {
	s := beforeTheCopy()
	s.Apply(start, ofEra(1, 10), ofEra(1, 12), in(1, gone("up/a", 11), gone("up/b", 12)))
	listing := in(2, put("config", "v23", 8), put("up/a", "s", 4), put("up/b", "s", 5))
	s.Replace(start, ofEra(2, 10), listing)
	if got := ids(s, "s"); got != "" {
		t.Errorf("at once: %s", got)
	}
	s.Replace(start.Add(time.Second), ofEra(2, 10), listing)
	if got := ids(s, "s"); got != "" {
		t.Errorf("listed again: %s", got)
	}
	s.Apply(start, ofEra(2, 10), ofEra(2, 11), in(2, put("up/b", "s", 11)))
	if got := ids(s, "s"); got != "b" {
		t.Errorf("b has written again: %s", got)
	}
	if s.Tick(start.Add(lapseAfter - time.Millisecond)) {
		t.Errorf("before entries lapse: %s", ids(s, "s"))
	}
	if !s.Tick(start.Add(lapseAfter)) || ids(s, "s") != "a,b" {
		t.Errorf("an entry that has not lapsed: %s", ids(s, "s"))
	}
}

// Guards against an upstream that comes back by an entry that has lapsed meanwhile.
func TestAnEntryOfACopyThatLapsesNamesNoUpstream(t *testing.T) {
	s := beforeTheCopy()
	s.Apply(start, ofEra(1, 10), ofEra(1, 11), in(1, gone("up/a", 11)))
	s.Replace(start, ofEra(2, 10), in(2, put("config", "v23", 8), put("up/a", "s", 4), put("up/b", "s", 5)))
	s.Apply(start, ofEra(2, 10), ofEra(2, 11), in(2, gone("up/a", 11)))
	if s.Tick(start.Add(lapseAfter)) || ids(s, "s") != "b" {
		t.Errorf("%s", ids(s, "s"))
	}
}

// history is a store whose writers write again what it loses.
type history struct {
	at     Position
	items  map[string]Item
	events []Item
	// last is what was written last under each key, the zero Item for a deletion.
	last    map[string]Item
	version int
}

func (h *history) write(key, value string) {
	h.at.Revision++
	it := Item{Key: key, Value: []byte(value), Era: h.at.Era, Revision: h.at.Revision}
	h.items[key], h.last[key] = it, it
	h.events = append(h.events, it)
}

func (h *history) delete(key string) {
	h.last[key] = Item{}
	if _, held := h.items[key]; !held {
		return
	}
	h.at.Revision++
	delete(h.items, key)
	h.events = append(h.events, Item{Key: key, Era: h.at.Era, Revision: h.at.Revision, Deleted: true})
}

// configure writes the next version of the configuration.
func (h *history) configure() {
	h.version++
	h.write("config", fmt.Sprint("v", h.version))
}

// copy is what the store holds now.
func (h *history) copy() history {
	return history{at: h.at, items: maps.Clone(h.items), events: slices.Clone(h.events)}
}

// restore lets the store come back from a copy, in the next era.
func (h *history) restore(c history) {
	h.at = Position{Era: h.at.Era + 1, Revision: c.at.Revision}
	h.items, h.events = maps.Clone(c.items), nil
	for key, it := range h.items {
		it.Era = h.at.Era
		h.items[key] = it
	}
}

// rewrite writes again what was lost.
func (h *history) rewrite() {
	for _, key := range slices.Sorted(maps.Keys(h.last)) {
		last, held := h.last[key], h.items[key]
		switch {
		case last.Key == "":
			h.delete(key)
		case string(held.Value) != string(last.Value):
			h.write(key, string(last.Value))
		}
	}
}

// read lets a VM read the store, by a watch where that brings what follows on what it knows.
func (h *history) read(s *State, watch bool) {
	if !watch || s.Position().Era != h.at.Era {
		s.Replace(start, h.at, slices.Collect(maps.Values(h.items)))
		return
	}
	var changes []Item
	for _, it := range h.events {
		if s.Position().Before(it.At()) {
			changes = append(changes, it)
		}
	}
	s.Apply(start, s.Position(), h.at, changes)
}

// Guards against VMs that hold different things, or take a version back, whatever a store
// does that comes back from copies and however they learn of it.
func TestVMsHoldTheSameWhateverTheStoreLoses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{at: ofEra(1, 1), items: map[string]Item{}, last: map[string]Item{}}
		h.configure()
		copied := h.copy()
		vms := []*State{New(start, versioned{}), New(start, versioned{}), New(start, versioned{})}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			vm := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")]
			peer := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "peer")]
			key := rapid.SampledFrom([]string{"up/a", "up/b", "evacuate/x"}).Draw(t, "key")
			was := vm.View()
			switch rapid.SampledFrom([]string{"configure", "write", "delete", "copy", "restore", "rewrite", "list", "watch", "pull", "pull"}).Draw(t, "step") {
			case "configure":
				h.configure()
			case "write":
				h.write(key, "s "+strings.Repeat("in-x", rapid.IntRange(0, 1).Draw(t, "zone")))
			case "delete":
				h.delete(key)
			case "copy":
				copied = h.copy()
			case "restore":
				h.restore(copied)
				copied = h.copy()
			case "rewrite":
				h.rewrite()
			case "list":
				h.read(vm, false)
			case "watch":
				h.read(vm, true)
			case "pull":
				vm.Take(start, peer.PageSince(vm.Position()))
			}
			if now := vm.View(); was.Config != nil && now.Config.Version < was.Config.Version {
				t.Fatalf("version %d after %d", now.Config.Version, was.Config.Version)
			}
		}
		h.rewrite()
		h.read(vms[0], true)
		vms[1].Take(start, vms[0].PageSince(vms[1].Position()))
		vms[2].Take(start, vms[1].PageSince(vms[2].Position()))
		for i, vm := range vms {
			vm.Tick(start.Add(2 * lapseAfter))
			for _, it := range vm.Items() {
				if string(it.Value) != string(h.items[it.Key].Value) {
					t.Errorf("VM %d holds %s %q, the store %q", i, it.Key, it.Value, h.items[it.Key].Value)
				}
			}
			if got := vm.View(); got.Config.Version != uint64(h.version) || describe(vm) != describe(vms[0]) || got.Evacuated["x"] != (h.items["evacuate/x"].Key != "") {
				t.Errorf("VM %d: version %d of %d, %s, evacuated %v", i, got.Config.Version, h.version, describe(vm), got.Evacuated)
			}
			if want := len(h.items) - 1 - len(vm.View().Evacuated); len(vm.View().Upstreams) != want {
				t.Errorf("VM %d: %d upstreams of %d", i, len(vm.View().Upstreams), want)
			}
		}
	})
}
