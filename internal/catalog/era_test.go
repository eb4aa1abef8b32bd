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

// versionDecoder decodes a configuration "vN" as version N.
type versionDecoder struct{ testDecoder }

func (versionDecoder) Config(it Item) (*routing.Config, error) {
	version, err := strconv.ParseUint(strings.TrimPrefix(string(it.Value), "v"), 10, 64)
	return &routing.Config{Version: version}, err
}

// inEra sets the era of items.
func inEra(era uint64, items ...Item) []Item {
	for i := range items {
		items[i].Era = era
	}
	return items
}

func positionAt(era, revision uint64) Position { return Position{Era: era, Revision: revision} }

// firstEraState returns a state in the store's first era.
func firstEraState() *State {
	s := New(start, versionDecoder{})
	s.StoreAnswered(start)
	s.Replace(start, positionAt(1, 10), inEra(1, put("config", "v23", 8), put("up/a", "s", 4), put("up/b", "s", 5)))
	return s
}

// stateFromPeer returns the state of a VM that starts with a peer's page.
func stateFromPeer(peer *State) *State {
	s := New(start, versionDecoder{})
	s.ApplyPage(start, peer.PageSince(Position{}))
	return s
}

// Guards against withdrawing a route because the store was restored from a copy with an older
// version of the configuration.
func TestOlderVersionInLaterEraIsRejected(t *testing.T) {
	s := firstEraState()
	s.Replace(start, positionAt(2, 7), inEra(2, put("config", "v20", 6), put("up/a", "s", 4), put("up/b", "s", 5)))
	for name, vm := range map[string]*State{"listed": s, "from a peer": stateFromPeer(s)} {
		if got := vm.View().Config.Version; got != 23 {
			t.Errorf("%s: version %d after 23", name, got)
		}
		vm.Apply(start, positionAt(2, 7), positionAt(2, 8), inEra(2, put("config", "v23", 8)))
		vm.Apply(start, positionAt(2, 8), positionAt(2, 9), inEra(2, put("config", "v27", 9)))
		if got := vm.View().Config.Version; got != 27 {
			t.Errorf("%s: version %d, want 27", name, got)
		}
	}
}

// Guards against dropping live upstreams because the store was restored from a copy made before
// they registered.
func TestUpstreamsMissingFromCopyAreKeptForGracePeriod(t *testing.T) {
	s := firstEraState()
	s.Apply(start, positionAt(1, 10), positionAt(1, 12), inEra(1, put("up/c", "s", 11), put("up/d", "s", 12)))
	s.Replace(start, positionAt(2, 10), inEra(2, put("config", "v23", 8), put("up/a", "s", 4), put("up/b", "s", 5)))
	if got := ids(s, "s"); got != "a,b,c,d" {
		t.Errorf("at once: %s", got)
	}
	s.Apply(start, positionAt(2, 10), positionAt(2, 11), inEra(2, put("up/d", "s", 11)))
	s.Tick(start.Add(recoveryGrace - time.Millisecond))
	if got := ids(s, "s"); got != "a,b,c,d" {
		t.Errorf("within the grace period: %s", got)
	}
	if !s.Tick(start.Add(recoveryGrace)) || ids(s, "s") != "a,b,d" {
		t.Errorf("after the grace period: %s", ids(s, "s"))
	}
}

// Guards against giving work to an evacuated data centre because the store was restored from a
// copy made before the evacuation began.
func TestEvacuationMissingFromCopyHoldsForGracePeriod(t *testing.T) {
	copied := inEra(2, put("config", "v23", 8), put("up/a", "s in-x", 4), put("up/b", "s in-y", 5))
	evacuated := func() *State {
		s := firstEraState()
		s.Apply(start, positionAt(1, 10), positionAt(1, 13), inEra(1, put("up/a", "s in-x", 11), put("up/b", "s in-y", 12), put("evacuate/x", "{}", 13)))
		s.Replace(start, positionAt(2, 10), copied)
		return s
	}
	s := evacuated()
	if got := ids(s, "s"); got != "b" {
		t.Errorf("at once: %s", got)
	}
	if !s.Tick(start.Add(recoveryGrace)) || ids(s, "s") != "a,b" {
		t.Errorf("not written again: %s", ids(s, "s"))
	}
	s = evacuated()
	s.Apply(start, positionAt(2, 10), positionAt(2, 11), inEra(2, put("evacuate/x", "{}", 11)))
	s.Tick(start.Add(recoveryGrace))
	if got := ids(s, "s"); got != "b" {
		t.Errorf("written again: %s", got)
	}
	s.Apply(start, positionAt(2, 11), positionAt(2, 12), inEra(2, deleted("evacuate/x", 12)))
	if got := ids(s, "s"); got != "a,b" {
		t.Errorf("ended: %s", got)
	}
}

// Guards against giving work to a leaving upstream because the store was restored from a copy
// made before it started to leave.
func TestLeavingUpstreamStaysLeavingInLaterEra(t *testing.T) {
	s := firstEraState()
	s.Apply(start, positionAt(1, 10), positionAt(1, 11), inEra(1, put("up/a", "s leaving", 11)))
	s.Replace(start, positionAt(2, 10), inEra(2, put("config", "v23", 8), put("up/a", "s", 4), put("up/b", "s", 5)))
	for name, vm := range map[string]*State{"listed": s, "from a peer": stateFromPeer(s)} {
		if u := vm.View().Upstreams["a"]; u == nil || !u.Leaving {
			t.Errorf("%s: %+v", name, u)
		}
	}
	s.Apply(start, positionAt(2, 10), positionAt(2, 11), inEra(2, put("up/a", "s leaving", 11)))
	if got := ids(s, "s"); got != "b" {
		t.Errorf("after a rewrites its entry: %s", got)
	}
	s.Apply(start, positionAt(2, 11), positionAt(2, 12), inEra(2, put("up/a", "s 100", 12)))
	if got := ids(s, "s"); got != "a,b" {
		t.Errorf("after a later start: %s", got)
	}
}

// Guards against giving work to a deregistered upstream because the store was restored from a
// copy in which its entry has not expired yet.
func TestDeregisteredUpstreamIsNotRestoredByCopy(t *testing.T) {
	s := firstEraState()
	s.Apply(start, positionAt(1, 10), positionAt(1, 12), inEra(1, deleted("up/a", 11), deleted("up/b", 12)))
	listing := inEra(2, put("config", "v23", 8), put("up/a", "s", 4), put("up/b", "s", 5))
	s.Replace(start, positionAt(2, 10), listing)
	if got := ids(s, "s"); got != "" {
		t.Errorf("at once: %s", got)
	}
	s.Replace(start.Add(time.Second), positionAt(2, 10), listing)
	if got := ids(s, "s"); got != "" {
		t.Errorf("listed again: %s", got)
	}
	s.Apply(start, positionAt(2, 10), positionAt(2, 11), inEra(2, put("up/b", "s", 11)))
	if got := ids(s, "s"); got != "b" {
		t.Errorf("after b rewrites its entry: %s", got)
	}
	if s.Tick(start.Add(restoredEntryDelay - time.Millisecond)) {
		t.Errorf("before the delay ends: %s", ids(s, "s"))
	}
	if !s.Tick(start.Add(restoredEntryDelay)) || ids(s, "s") != "a,b" {
		t.Errorf("after the delay ends: %s", ids(s, "s"))
	}
}

// Guards against restoring an upstream from a copy's entry that has expired in the meantime.
func TestExpiredEntryOfCopyRestoresNoUpstream(t *testing.T) {
	s := firstEraState()
	s.Apply(start, positionAt(1, 10), positionAt(1, 11), inEra(1, deleted("up/a", 11)))
	s.Replace(start, positionAt(2, 10), inEra(2, put("config", "v23", 8), put("up/a", "s", 4), put("up/b", "s", 5)))
	s.Apply(start, positionAt(2, 10), positionAt(2, 11), inEra(2, deleted("up/a", 11)))
	if s.Tick(start.Add(restoredEntryDelay)) || ids(s, "s") != "b" {
		t.Errorf("%s", ids(s, "s"))
	}
}

// storeModel models a store whose writers write again what it loses.
type storeModel struct {
	at     Position
	items  map[string]Item
	events []Item
	// lastWritten is the last item written under each key, the zero Item for a deletion.
	lastWritten map[string]Item
	version     int
}

func (h *storeModel) write(key, value string) {
	h.at.Revision++
	it := Item{Key: key, Value: []byte(value), Era: h.at.Era, Revision: h.at.Revision}
	h.items[key], h.lastWritten[key] = it, it
	h.events = append(h.events, it)
}

func (h *storeModel) delete(key string) {
	h.lastWritten[key] = Item{}
	if _, held := h.items[key]; !held {
		return
	}
	h.at.Revision++
	delete(h.items, key)
	h.events = append(h.events, Item{Key: key, Era: h.at.Era, Revision: h.at.Revision, Deleted: true})
}

// configure writes the next version of the configuration.
func (h *storeModel) configure() {
	h.version++
	h.write("config", fmt.Sprint("v", h.version))
}

// copy returns a copy of the store's contents.
func (h *storeModel) copy() storeModel {
	return storeModel{at: h.at, items: maps.Clone(h.items), events: slices.Clone(h.events)}
}

// restore replaces the contents by a copy and starts the next era.
func (h *storeModel) restore(c storeModel) {
	h.at = Position{Era: h.at.Era + 1, Revision: c.at.Revision}
	h.items, h.events = maps.Clone(c.items), nil
	for key, it := range h.items {
		it.Era = h.at.Era
		h.items[key] = it
	}
}

// rewrite writes again what was lost.
func (h *storeModel) rewrite() {
	for _, key := range slices.Sorted(maps.Keys(h.lastWritten)) {
		last, held := h.lastWritten[key], h.items[key]
		switch {
		case last.Key == "":
			h.delete(key)
		case string(held.Value) != string(last.Value):
			h.write(key, string(last.Value))
		}
	}
}

// read updates a VM's state from the store: by the changes of a watch if the state is of the
// same era, otherwise by a listing.
func (h *storeModel) read(s *State, watch bool) {
	if !watch || s.Position().Era != h.at.Era {
		s.Replace(start, h.at, slices.Collect(maps.Values(h.items)))
		return
	}
	var changes []Item
	for _, it := range h.events {
		if s.Position().Before(it.Position()) {
			changes = append(changes, it)
		}
	}
	s.Apply(start, s.Position(), h.at, changes)
}

// Guards against VMs that hold different states or go back to an older version, for any
// sequence of restores of the store from copies and any way of learning of the changes.
func TestVMsConvergeAcrossStoreRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &storeModel{at: positionAt(1, 1), items: map[string]Item{}, lastWritten: map[string]Item{}}
		h.configure()
		copied := h.copy()
		vms := []*State{New(start, versionDecoder{}), New(start, versionDecoder{}), New(start, versionDecoder{})}
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
				vm.ApplyPage(start, peer.PageSince(vm.Position()))
			}
			if now := vm.View(); was.Config != nil && now.Config.Version < was.Config.Version {
				t.Fatalf("version %d after %d", now.Config.Version, was.Config.Version)
			}
		}
		h.rewrite()
		h.read(vms[0], true)
		vms[1].ApplyPage(start, vms[0].PageSince(vms[1].Position()))
		vms[2].ApplyPage(start, vms[1].PageSince(vms[2].Position()))
		for i, vm := range vms {
			vm.Tick(start.Add(2 * restoredEntryDelay))
			for _, it := range vm.Items() {
				if string(it.Value) != string(h.items[it.Key].Value) {
					t.Errorf("VM %d holds %s %q, the store %q", i, it.Key, it.Value, h.items[it.Key].Value)
				}
			}
			if got := vm.View(); got.Config.Version != uint64(h.version) || describeUpstreams(vm) != describeUpstreams(vms[0]) || got.Evacuated["x"] != (h.items["evacuate/x"].Key != "") {
				t.Errorf("VM %d: version %d of %d, %s, evacuated %v", i, got.Config.Version, h.version, describeUpstreams(vm), got.Evacuated)
			}
			if want := len(h.items) - 1 - len(vm.View().Evacuated); len(vm.View().Upstreams) != want {
				t.Errorf("VM %d: %d upstreams of %d", i, len(vm.View().Upstreams), want)
			}
		}
	})
}
