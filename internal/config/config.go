// Package config decides which published documents are in force and when a
// daemon reads the platform or asks its peers. Both parts are pure: State holds
// the documents, Syncer takes events and returns actions. For each document the
// highest revision that passes the check counts, from whoever it came, and no
// lower one ever replaces it.
package config

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/finding"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// MaxPageBytes bounds the bodies of one page of changes, unless a single
// document is larger.
const MaxPageBytes = 1 << 20

// Page is a run of changes.
type Page struct {
	// The page holds every change above After, up to and with Revision.
	// Documents above Revision are a part of the next one.
	After     uint64
	Revision  uint64
	Documents []*pb.PublishedDocument
	// More says that the page was full.
	More bool
	// Digest covers all versions the sender holds; 0 when it gives none.
	Digest uint64
}

// Next is where the page after this one starts: a revision and, inside the next
// one, a name.
func (p *Page) Next() (after uint64, name string) {
	if n := len(p.Documents); n > 0 && p.Documents[n-1].Revision > p.Revision {
		return p.Revision, p.Documents[n-1].Name
	}
	return p.Revision, ""
}

// Rejected is a revision that failed the check and so is not in force.
type Rejected struct {
	Name     string       `json:"name"`
	Revision uint64       `json:"revision"`
	Findings finding.List `json:"findings"`
}

// State is the documents of one daemon. It is not safe for concurrent use.
//
// Two daemons that have seen the same versions hold the same state, in whatever
// order they came and however often: per document it keeps the highest version
// that passes the check and, above that one, the highest that fails.
type State struct {
	revision uint64
	entries  map[string]*entry
	digest   uint64
	// pageBytes bounds the pages given out.
	pageBytes int
}

// entry holds one document's version in force and, when that is not the newest
// one, the newest with its findings.
type entry struct {
	accepted *version
	document *pb.Document
	rejected *version
	findings finding.List
}

// version is one published version. The hash of the body orders two bodies
// under one revision, which a platform restored from a backup may publish: all
// daemons then settle on the same one.
type version struct {
	*pb.PublishedDocument
	sum uint64
}

func newVersion(d *pb.PublishedDocument) *version {
	v := &version{PublishedDocument: d, sum: xxhash.Sum64(d.Body)}
	if d.Deleted {
		v.sum = ^uint64(0)
	}
	return v
}

// above tells whether v replaces o.
func (v *version) above(o *version) bool {
	if o == nil {
		return true
	}
	if v.Revision != o.Revision {
		return v.Revision > o.Revision
	}
	return v.sum > o.sum
}

// digest is the version's term in the state's digest. A deletion has none: a
// daemon that started after it may never have seen it, and holds the same.
func (v *version) digest() uint64 {
	if v == nil || v.Deleted {
		return 0
	}
	var tail [16]byte
	binary.LittleEndian.PutUint64(tail[:], v.Revision)
	binary.LittleEndian.PutUint64(tail[8:], v.sum)
	h := xxhash.New()
	_, _ = h.WriteString(v.Name)
	_, _ = h.Write(tail[:])
	return h.Sum64()
}

// New is a state that holds nothing.
func New() *State {
	return &State{entries: map[string]*entry{}, pageBytes: MaxPageBytes}
}

// Revision is the watermark: every change up to it has been taken in, or was
// never given by the sources asked.
func (s *State) Revision() uint64 {
	return s.revision
}

// Digest covers every version held, accepted or rejected. Daemons of one
// revision whose digests differ lack a version.
func (s *State) Digest() uint64 {
	return s.digest
}

// Merge takes in a page and returns the documents that were news, accepted or
// rejected. A page from a source that lags behind changes nothing: each document
// is compared by its own revision. The watermark moves only when the page joins
// on to it: a page that starts above it leaves a gap, and a change in the gap
// would never be asked for again.
func (s *State) Merge(p Page) []*pb.PublishedDocument {
	var news []*pb.PublishedDocument
	for _, d := range p.Documents {
		if s.offer(d) {
			news = append(news, d)
		}
	}
	if p.After <= s.revision && p.Revision > s.revision {
		s.revision = p.Revision
	}
	return news
}

// offer takes in one version; false when it changed nothing.
func (s *State) offer(d *pb.PublishedDocument) bool {
	if d.Name == "" || d.Revision == 0 {
		return false
	}
	e := s.entries[d.Name]
	if e == nil {
		e = &entry{}
		s.entries[d.Name] = e
	}
	v := newVersion(d)
	if !v.above(e.accepted) || e.holds(v) {
		return false
	}
	s.digest -= e.digest()
	defer func() { s.digest += e.digest() }()
	if d.Deleted {
		e.accept(v, &pb.Document{})
		return true
	}
	doc, findings := contract.Check(d.Name, d.Body)
	if len(findings) > 0 {
		return e.reject(v, findings)
	}
	e.accept(v, doc)
	return true
}

func (e *entry) digest() uint64 {
	return e.accepted.digest() + e.rejected.digest()
}

// holds tells whether v is the rejected version already checked.
func (e *entry) holds(v *version) bool {
	return e.rejected != nil && v.Revision == e.rejected.Revision && v.sum == e.rejected.sum
}

func (e *entry) accept(v *version, doc *pb.Document) {
	e.accepted = v
	e.document = doc
	if e.rejected != nil && v.above(e.rejected) {
		e.rejected = nil
		e.findings = nil
	}
}

func (e *entry) reject(v *version, findings finding.List) bool {
	if !v.above(e.rejected) {
		return false
	}
	e.rejected = v
	e.findings = findings
	return true
}

// Since is the page of changes above a revision, lowest first; documents of the
// next revision up to name are left out. It holds the version in force of each
// document and its rejected successor: a daemon that starts learns both, so that
// what is in force here comes into force there.
func (s *State) Since(after uint64, name string) Page {
	if after >= s.revision {
		return Page{After: after, Revision: s.revision, Digest: s.digest}
	}
	var docs []*pb.PublishedDocument
	for _, e := range s.entries {
		for _, v := range [...]*version{e.accepted, e.rejected} {
			if v != nil && v.follows(after, name) {
				docs = append(docs, v.PublishedDocument)
			}
		}
	}
	sort.Slice(docs, func(i, j int) bool { return before(docs[i], docs[j]) })
	return s.cut(docs, after)
}

func (v *version) follows(after uint64, name string) bool {
	if v.Revision == after+1 && name != "" {
		return v.Name > name
	}
	return v.Revision > after
}

func before(a, b *pb.PublishedDocument) bool {
	if a.Revision != b.Revision {
		return a.Revision < b.Revision
	}
	return a.Name < b.Name
}

// cut ends the page where its bodies grow too large. When that is between two
// documents of one revision, the page's revision stays below it: a daemon that
// stops here must still know that it lacks the rest.
func (s *State) cut(docs []*pb.PublishedDocument, after uint64) Page {
	page := Page{After: after, Revision: s.revision, Documents: docs, Digest: s.digest}
	size := 0
	for i, d := range docs {
		size += len(d.Body)
		if size <= s.pageBytes || i == 0 || !before(docs[i-1], d) {
			continue
		}
		page.Documents = docs[:i]
		page.More = true
		page.Revision = docs[i-1].Revision
		if d.Revision == page.Revision {
			page.Revision--
		}
		break
	}
	return page
}

// Snapshot compiles what is in force.
func (s *State) Snapshot() *contract.Snapshot {
	var docs []contract.Accepted
	for name, e := range s.entries {
		if e.accepted == nil {
			continue
		}
		docs = append(docs, contract.Accepted{Name: name, Revision: e.accepted.Revision, Document: e.document})
	}
	return contract.Compile(s.revision, docs)
}

// Rejected is every document whose newest revision failed the check, by name.
func (s *State) Rejected() []Rejected {
	var out []Rejected
	for name, e := range s.entries {
		if e.rejected != nil {
			out = append(out, Rejected{Name: name, Revision: e.rejected.Revision, Findings: e.findings})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// InForce is the revision of a document in force, 0 when there is none.
func (s *State) InForce(name string) uint64 {
	e := s.entries[name]
	if e == nil || e.accepted == nil {
		return 0
	}
	return e.accepted.Revision
}
