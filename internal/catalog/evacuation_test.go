package catalog

import (
	"testing"
	"time"
)

// Guards against giving work to an evacuated data centre, and against an evacuation that is
// lost between VMs, outlives its key or ends during an outage of the store.
func TestEvacuatedDataCentreTakesNoWork(t *testing.T) {
	s := New(start, testDecoder{})
	s.Replace(start, at(10), []Item{put("config", "h", 3), put("up/a", "s in-x", 4), put("up/b", "s in-y", 5)})
	if changed, _ := s.Apply(start, at(10), at(11), []Item{put("evacuate/x", "{", 11)}); !changed {
		t.Error("an evacuation does not count as a change")
	}
	if changed, _ := s.Apply(start, at(11), at(12), []Item{put("evacuate/x", "written anew", 12)}); changed {
		t.Error("rewriting an evacuation counts as a change")
	}
	v := s.View()
	if got := ids(s, "s"); got != "b" || !v.Evacuated["x"] || v.TakesWork(v.Upstreams["a"]) || !v.TakesWork(v.Upstreams["b"]) {
		t.Errorf("takes work: %q, evacuated %v", got, v.Evacuated)
	}
	started := New(start, testDecoder{})
	page := s.PageSince(at(0))
	started.Replace(start, page.At, page.Items)
	if got := ids(started, "s"); got != "b" {
		t.Errorf("a new VM, after a peer's page: %q", got)
	}
	for _, at := range []time.Duration{time.Second, 3 * time.Second, 9 * time.Second} {
		s.StoreFailed(start.Add(at))
		s.Tick(start.Add(at))
	}
	if got := ids(s, "s"); got != "b" {
		t.Errorf("during an outage: %q", got)
	}
	if changed, _ := s.Apply(start, at(12), at(13), []Item{deleted("evacuate/x", 13)}); !changed || ids(s, "s") != "a,b" {
		t.Errorf("after its key is deleted: changed %v, %q", changed, ids(s, "s"))
	}
	page = s.PageSince(started.Position())
	started.Apply(start, page.After, page.At, page.Items)
	if got := ids(started, "s"); got != "a,b" {
		t.Errorf("the new VM, after its key is deleted: %q", got)
	}
}

// Guards against an evacuation that stays active after a listing without its key.
func TestListingWithoutEvacuationKeyEndsIt(t *testing.T) {
	s := New(start, testDecoder{})
	s.Replace(start, at(10), []Item{put("up/a", "s in-x", 4), put("evacuate/x", "", 9)})
	if got := ids(s, "s"); got != "" {
		t.Fatalf("takes work: %q", got)
	}
	if changed := s.Replace(start, at(11), []Item{put("up/a", "s in-x", 4)}); !changed || ids(s, "s") != "a" {
		t.Errorf("changed %v, %q", changed, ids(s, "s"))
	}
}
