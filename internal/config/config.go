// Package config decides which published documents are in force and when a
// daemon reads the platform or pulls from its peers. Neither part does I/O: State
// holds the documents, and Syncer maps events to actions. The version in force of
// a document is the highest revision that passes validation, whatever its source;
// a lower revision never replaces it.
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

// Page is a range of changes in revision order.
type Page struct {
	// The page holds every change in (After, Revision]. Documents above
	// Revision are the first part of revision Revision+1.
	After     uint64
	Revision  uint64
	Documents []*pb.PublishedDocument
	// More reports that the page was truncated and further changes follow.
	More bool
	// Digest covers all versions that the sender holds; 0 if absent.
	Digest uint64
}

// Next returns the position of the following page: the last complete revision
// and, if this page ends within the next revision, its last document name.
func (p *Page) Next() (after uint64, name string) {
	if n := len(p.Documents); n > 0 && p.Documents[n-1].Revision > p.Revision {
		return p.Revision, p.Documents[n-1].Name
	}
	return p.Revision, ""
}

// Rejected is a revision that failed validation and is therefore not in force.
type Rejected struct {
	Name     string       `json:"name"`
	Revision uint64       `json:"revision"`
	Findings finding.List `json:"findings"`
}

// State holds the documents of one daemon. It is not safe for concurrent use.
//
// Merging is commutative and idempotent: daemons that have received the same
// versions hold the same state. For each document, State keeps the highest valid
// version and, if it is higher, the highest invalid one.
type State struct {
	revision uint64
	entries  map[string]*entry
	digest   uint64
	// pageBytes bounds the document bodies of the pages that Since returns.
	pageBytes int
}

// entry holds the version of a document that is in force and, if a newer one was
// rejected, that version with its findings.
type entry struct {
	accepted *version
	document *pb.Document
	rejected *version
	findings finding.List
}

// version is one published version. A platform restored from a backup may publish
// two bodies under one revision; the hash of the body orders them, so that all
// daemons select the same one.
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

// supersedes reports whether v is newer than o; any version is newer than nil.
func (v *version) supersedes(o *version) bool {
	if o == nil {
		return true
	}
	if v.Revision != o.Revision {
		return v.Revision > o.Revision
	}
	return v.sum > o.sum
}

// digest returns the version's term in the state's digest. It is 0 for a
// deletion, because a daemon that starts later may never receive the deletion
// and still has the same documents.
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

// New returns an empty State.
func New() *State {
	return &State{entries: map[string]*entry{}, pageBytes: MaxPageBytes}
}

// Revision returns the watermark: every change up to it has been merged, unless
// the queried sources left it out of their answers.
func (s *State) Revision() uint64 {
	return s.revision
}

// Digest covers every accepted and rejected version. If two daemons at one
// revision have different digests, at least one of them lacks a version.
func (s *State) Digest() uint64 {
	return s.digest
}

// Merge adds a page and returns the documents that changed the state, accepted or
// rejected. A page from a stale source changes nothing, because each document is
// compared by its own revision. The watermark advances only if the page is
// contiguous with it: advancing past a gap would mean that changes in the gap are
// never requested again.
func (s *State) Merge(p Page) []*pb.PublishedDocument {
	var news []*pb.PublishedDocument
	for _, d := range p.Documents {
		if s.mergeDocument(d) {
			news = append(news, d)
		}
	}
	if p.After <= s.revision && p.Revision > s.revision {
		s.revision = p.Revision
	}
	return news
}

// mergeDocument merges one version and reports whether the state changed.
func (s *State) mergeDocument(d *pb.PublishedDocument) bool {
	if d.Name == "" || d.Revision == 0 {
		return false
	}
	e := s.entries[d.Name]
	if e == nil {
		e = &entry{}
		s.entries[d.Name] = e
	}
	v := newVersion(d)
	if !v.supersedes(e.accepted) || e.hasRejected(v) {
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

// hasRejected reports whether v has already been validated and rejected.
func (e *entry) hasRejected(v *version) bool {
	return e.rejected != nil && v.Revision == e.rejected.Revision && v.sum == e.rejected.sum
}

func (e *entry) accept(v *version, doc *pb.Document) {
	e.accepted = v
	e.document = doc
	if e.rejected != nil && v.supersedes(e.rejected) {
		e.rejected = nil
		e.findings = nil
	}
}

func (e *entry) reject(v *version, findings finding.List) bool {
	if !v.supersedes(e.rejected) {
		return false
	}
	e.rejected = v
	e.findings = findings
	return true
}

// Since returns the page of changes above revision after, in ascending order. A
// non-empty name skips the documents of revision after+1 up to and including name.
// The page holds both the accepted version of each document and its rejected
// successor, so that a starting daemon puts the same version in force.
func (s *State) Since(after uint64, name string) Page {
	if after >= s.revision {
		return Page{After: after, Revision: s.revision, Digest: s.digest}
	}
	var docs []*pb.PublishedDocument
	for _, e := range s.entries {
		for _, v := range [...]*version{e.accepted, e.rejected} {
			if v != nil && v.isAfter(after, name) {
				docs = append(docs, v.PublishedDocument)
			}
		}
	}
	sort.Slice(docs, func(i, j int) bool { return sortsBefore(docs[i], docs[j]) })
	return s.limitPage(docs, after)
}

func (v *version) isAfter(after uint64, name string) bool {
	if v.Revision == after+1 && name != "" {
		return v.Name > name
	}
	return v.Revision > after
}

func sortsBefore(a, b *pb.PublishedDocument) bool {
	if a.Revision != b.Revision {
		return a.Revision < b.Revision
	}
	return a.Name < b.Name
}

// limitPage truncates the page when its bodies exceed pageBytes. If the cut falls
// between two documents of one revision, the page's revision stays below that
// revision, so that a receiver which stops here still requests the rest.
func (s *State) limitPage(docs []*pb.PublishedDocument, after uint64) Page {
	page := Page{After: after, Revision: s.revision, Documents: docs, Digest: s.digest}
	size := 0
	for i, d := range docs {
		size += len(d.Body)
		if size <= s.pageBytes || i == 0 || !sortsBefore(docs[i-1], d) {
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

// Snapshot compiles the documents in force.
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

// Rejected returns the documents whose newest revision failed validation, sorted
// by name.
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

// InForce returns the revision of the named document that is in force, or 0.
func (s *State) InForce(name string) uint64 {
	e := s.entries[name]
	if e == nil || e.accepted == nil {
		return 0
	}
	return e.accepted.Revision
}
