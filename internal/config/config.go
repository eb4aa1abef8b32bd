// Package config decides which published documents are in force. It is a pure
// state: for each document the highest revision that passes the check counts,
// from whoever it came, and no lower one ever replaces it.
package config

import (
	"bytes"
	"sort"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/finding"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// MaxPageBytes bounds the bodies of one page of changes.
const MaxPageBytes = 1 << 20

// Page is a run of changes: every change above the revision asked for, up to
// and with Revision.
type Page struct {
	Revision  uint64
	Documents []*pb.PublishedDocument
	// More says that the page was full.
	More bool
}

// Rejected is a revision that failed the check and so is not in force.
type Rejected struct {
	Name     string       `json:"name"`
	Revision uint64       `json:"revision"`
	Findings finding.List `json:"findings"`
}

// State is the documents of one daemon. It is not safe for concurrent use.
type State struct {
	revision uint64
	entries  map[string]*entry
}

// entry holds one document's version in force and, when that is not the newest
// one, the newest with its findings.
type entry struct {
	accepted *pb.PublishedDocument
	document *pb.Document
	rejected *pb.PublishedDocument
	findings finding.List
}

// New is a state that holds nothing.
func New() *State {
	return &State{entries: map[string]*entry{}}
}

// Revision is the watermark: every change up to it has been taken in.
func (s *State) Revision() uint64 {
	return s.revision
}

// Merge takes in a page and reports whether anything in force changed. A page
// from a source that lags behind changes nothing: each document is compared by
// its own revision.
func (s *State) Merge(p Page) bool {
	changed := false
	for _, d := range p.Documents {
		if s.offer(d) {
			changed = true
		}
	}
	if p.Revision > s.revision {
		s.revision = p.Revision
	}
	return changed
}

func (s *State) offer(d *pb.PublishedDocument) bool {
	e := s.entries[d.Name]
	if e == nil {
		e = &entry{}
		s.entries[d.Name] = e
	}
	if e.accepted != nil && d.Revision <= e.accepted.Revision {
		return false
	}
	if e.rejected != nil && d.Revision == e.rejected.Revision {
		return false
	}
	if d.Deleted {
		e.accept(d, &pb.Document{})
		return true
	}
	doc, findings := contract.Check(d.Name, d.Body)
	if len(findings) > 0 {
		e.reject(d, findings)
		return false
	}
	e.accept(d, doc)
	return true
}

func (e *entry) accept(d *pb.PublishedDocument, doc *pb.Document) {
	e.accepted = d
	e.document = doc
	if e.rejected != nil && e.rejected.Revision < d.Revision {
		e.rejected = nil
		e.findings = nil
	}
}

func (e *entry) reject(d *pb.PublishedDocument, findings finding.List) {
	if e.rejected != nil && d.Revision < e.rejected.Revision {
		return
	}
	e.rejected = d
	e.findings = findings
}

// Since is the page of changes above a revision, lowest first. It holds the
// version in force of each document and its rejected successor: a daemon that
// starts learns both, so that what is in force here comes into force there.
func (s *State) Since(after uint64) Page {
	var docs []*pb.PublishedDocument
	for _, e := range s.entries {
		docs = appendAbove(docs, e.accepted, after)
		docs = appendAbove(docs, e.rejected, after)
	}
	sort.Slice(docs, func(i, j int) bool { return docs[i].Revision < docs[j].Revision })
	return s.cut(docs, after)
}

func appendAbove(docs []*pb.PublishedDocument, d *pb.PublishedDocument, after uint64) []*pb.PublishedDocument {
	if d == nil || d.Revision <= after {
		return docs
	}
	return append(docs, d)
}

func (s *State) cut(docs []*pb.PublishedDocument, after uint64) Page {
	size := 0
	for i, d := range docs {
		size += len(d.Body)
		if size > MaxPageBytes && i > 0 {
			return Page{Revision: max(after, docs[i-1].Revision), Documents: docs[:i], More: true}
		}
	}
	return Page{Revision: s.revision, Documents: docs}
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

// Rejected is every document whose newest revision failed the check.
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

// Equal tells whether two states hold the same documents, for tests and models.
func (s *State) Equal(o *State) bool {
	if len(s.entries) != len(o.entries) {
		return false
	}
	for name, e := range s.entries {
		other := o.entries[name]
		if other == nil || !sameDocument(e.accepted, other.accepted) {
			return false
		}
	}
	return true
}

func sameDocument(a, b *pb.PublishedDocument) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Revision == b.Revision && bytes.Equal(a.Body, b.Body)
}
