package config

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// history is the sequence of versions that operators published. Each has the
// revision of its predecessor or the next one; the first has revision 1.
type history []*pb.PublishedDocument

// serve returns the response of a platform at the given revision: the newest
// version of each document that changed above after.
func (h history) serve(after, revision uint64) Page {
	newest := map[string]*pb.PublishedDocument{}
	for _, d := range h {
		if d.Revision <= revision {
			newest[d.Name] = d
		}
	}
	page := Page{After: after, Revision: revision}
	for _, d := range h {
		if newest[d.Name] == d && d.Revision > after {
			page.Documents = append(page.Documents, d)
		}
	}
	return page
}

// last returns the newest version of a document up to a revision, or nil.
func (h history) last(name string, revision uint64) *pb.PublishedDocument {
	var last *pb.PublishedDocument
	for _, d := range h {
		if d.Name == name && d.Revision <= revision {
			last = d
		}
	}
	return last
}

// goodBody returns a valid document body, badBody an invalid one.
func goodBody(rev uint64) []byte {
	return []byte(fmt.Sprintf("[[vms]]\nid = \"vm-%d\"\nregion = \"r\"\ndata_centre = \"d\"\ncaller_address = \"127.0.0.1:1\"\npeer_address = \"127.0.0.1:2\"\nstate = \"live\"\n", rev))
}

func badBody(rev uint64) []byte {
	return []byte(fmt.Sprintf("unknown_%d = 1\n", rev))
}

func good(name string, rev uint64) *pb.PublishedDocument {
	return &pb.PublishedDocument{Name: name, Revision: rev, Body: goodBody(rev)}
}

func bad(name string, rev uint64) *pb.PublishedDocument {
	return &pb.PublishedDocument{Name: name, Revision: rev, Body: badBody(rev)}
}

func deleted(name string, rev uint64) *pb.PublishedDocument {
	return &pb.PublishedDocument{Name: name, Revision: rev, Deleted: true}
}

func drawHistory(t *rapid.T) history {
	var h history
	rev := uint64(0)
	for i := range rapid.IntRange(1, 12).Draw(t, "versions") {
		name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
		last := h.last(name, rev)
		if i == 0 || (last != nil && last.Revision == rev) || rapid.Bool().Draw(t, "new revision") {
			rev++
		}
		make := rapid.SampledFrom([]func(string, uint64) *pb.PublishedDocument{good, good, bad, deleted}).Draw(t, "kind")
		h = append(h, make(name, rev))
	}
	return h
}

// fleetModel is a set of daemons that share one history.
type fleetModel struct {
	history history
	states  []*State
	// inForce is the last revision in force per daemon and document name.
	inForce []map[string]uint64
}

func (m *fleetModel) add() {
	s := New()
	// A page holds one or two documents, which covers all page boundaries.
	s.pageBytes = 200
	m.states = append(m.states, s)
	m.inForce = append(m.inForce, map[string]uint64{})
}

// check asserts that no document reverts to a lower revision and that no watermark
// passes a change that the daemon lacks.
func (m *fleetModel) check(t *rapid.T) {
	for i, s := range m.states {
		for _, name := range []string{"a", "b", "c"} {
			got := s.InForce(name)
			if got < m.inForce[i][name] {
				t.Fatalf("daemon %d: %s reverted from %d to %d", i, name, m.inForce[i][name], got)
			}
			m.inForce[i][name] = got
			// Only the newest version is required: a daemon may lack a version
			// that a later one above its watermark has replaced.
			last := m.history.last(name, m.top())
			if last != nil && last.Revision <= s.Revision() && s.newest(name) < last.Revision {
				t.Fatalf("daemon %d at %d lacks %s at %d", i, s.Revision(), name, last.Revision)
			}
		}
	}
}

func (m *fleetModel) top() uint64 { return m.history[len(m.history)-1].Revision }

func (s *State) newest(name string) uint64 {
	e := s.entries[name]
	if e == nil {
		return 0
	}
	newest := s.InForce(name)
	if e.rejected != nil {
		newest = max(newest, e.rejected.Revision)
	}
	return newest
}

// pullAll merges every page above a revision from a peer.
func pullAll(to, from *State, after uint64) {
	name := ""
	for {
		page := from.Since(after, name)
		to.Merge(page)
		if !page.More {
			return
		}
		after, name = page.Next()
	}
}

// Guards against a changed contract that stays at its former revision on some VMs
// for ever, or reverts to an older one. Pages from the platform, from a stale
// platform server and from peers arrive in any order, repeated and truncated
// anywhere, while VMs are replaced. The fault arises if the watermark passes a
// document that was not in the page, so that it is never requested, or if a page
// replaces the state as a whole.
func TestStateIsMonotonicAndComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetModel{history: drawHistory(t)}
		for range 3 {
			m.add()
		}
		top := m.top()
		pick := func(label string) int { return rapid.IntRange(0, 2).Draw(t, label) }
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) {
				s := m.states[pick("daemon")]
				s.Merge(m.history.serve(s.Revision(), rapid.Uint64Range(0, top).Draw(t, "served")))
			},
			"pull one page": func(t *rapid.T) {
				to, from := m.states[pick("to")], m.states[pick("from")]
				after := rapid.Uint64Range(0, top).Draw(t, "after")
				to.Merge(from.Since(after, ""))
			},
			"pull": func(t *rapid.T) {
				to := m.states[pick("to")]
				pullAll(to, m.states[pick("from")], to.Revision())
			},
			"replace": func(t *rapid.T) {
				i := pick("daemon")
				fresh := New()
				fresh.pageBytes = 200
				m.states[i], m.inForce[i] = fresh, map[string]uint64{}
			},
			"": m.check,
		})
		m.converge(t, top)
	})
}

// converge lets every daemon read and pull from its peers. It asserts that all
// agree on the highest valid version among those that any daemon still holds.
func (m *fleetModel) converge(t *rapid.T, top uint64) {
	for _, s := range m.states {
		s.Merge(m.history.serve(s.Revision(), top))
	}
	want := map[string]uint64{}
	for _, s := range m.states {
		for _, name := range []string{"a", "b", "c"} {
			want[name] = max(want[name], s.InForce(name))
		}
	}
	for range m.states {
		for i, from := range m.states {
			to := m.states[(i+1)%len(m.states)]
			pullAll(to, from, 0)
		}
	}
	m.check(t)
	for i, s := range m.states {
		if s.Digest() != m.states[0].Digest() {
			t.Fatalf("daemon %d differs from daemon 0", i)
		}
		for name, rev := range want {
			if s.InForce(name) != rev {
				t.Fatalf("daemon %d has %s at %d in force, want %d", i, name, s.InForce(name), rev)
			}
		}
	}
}

func TestMerge(t *testing.T) {
	page := func(after, rev uint64, docs ...*pb.PublishedDocument) Page {
		return Page{After: after, Revision: rev, Documents: docs}
	}
	tests := []struct {
		name     string
		pages    []Page
		revision uint64
		inForce  uint64
		rejected bool
	}{
		{"first page", []Page{page(0, 3, good("a", 3))}, 3, 3, false},
		{"a page that leaves a gap is used, but its revision is not", []Page{page(0, 2), page(5, 7, good("a", 7))}, 2, 7, false},
		{"a lower revision is ignored", []Page{page(0, 5, good("a", 5)), page(0, 3, good("a", 3))}, 5, 5, false},
		{"a rejected revision keeps its predecessor in force", []Page{page(0, 3, good("a", 3)), page(3, 4, bad("a", 4))}, 4, 3, true},
		{"the predecessor arrives after the rejected revision", []Page{page(0, 4, bad("a", 4)), page(0, 4, good("a", 3))}, 4, 3, true},
		{"a later revision clears the rejected one", []Page{page(0, 4, bad("a", 4)), page(4, 5, good("a", 5))}, 5, 5, false},
		{"a rejected revision below the one in force is ignored", []Page{page(0, 5, good("a", 5)), page(0, 4, bad("a", 4))}, 5, 5, false},
		{"a deleted document is not restored by an older version", []Page{page(0, 5, deleted("a", 5)), page(0, 4, good("a", 4))}, 5, 5, false},
		{"a document without a name or revision is ignored", []Page{page(0, 1, good("", 1), good("a", 0))}, 1, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New()
			for _, p := range tt.pages {
				s.Merge(p)
			}
			if s.Revision() != tt.revision || s.InForce("a") != tt.inForce || (len(s.Rejected()) > 0) != tt.rejected {
				t.Errorf("revision %d, in force %d, rejected %v", s.Revision(), s.InForce("a"), s.Rejected())
			}
		})
	}
}

// Guards against two VMs that serve different contracts under one revision for
// ever. A platform restored from a backup issues a revision a second time with
// another body, and the VMs receive the two bodies in different order. Comparing
// revisions alone lets neither body replace the other.
func TestOneRevisionWithTwoBodiesConverges(t *testing.T) {
	first, second := good("a", 4), &pb.PublishedDocument{Name: "a", Revision: 4, Body: goodBody(9)}
	x, y := New(), New()
	x.Merge(Page{Revision: 4, Documents: []*pb.PublishedDocument{first, second}})
	y.Merge(Page{Revision: 4, Documents: []*pb.PublishedDocument{second, first}})
	if x.Digest() != y.Digest() || x.Snapshot().VMs()[0].Id != y.Snapshot().VMs()[0].Id {
		t.Errorf("the order of arrival decides: %s and %s", x.Snapshot().VMs()[0].Id, y.Snapshot().VMs()[0].Id)
	}
}
