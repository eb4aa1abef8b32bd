package catalog

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxHistoryBytes bounds the memory for configuration texts: two at a megabyte each. With
	// one text, VMs send each other ten times as much during a burst of changes; four save
	// nothing over two (sycamorekeel experiment spread).
	maxHistoryBytes = 2 << 20
	// maxHistoryDocuments bounds the number of texts. It covers 5 s of changes at ten a second
	// with some reserve.
	maxHistoryDocuments = 64
)

// Document is the text of one version of a configuration.
type Document struct {
	// Sum is the hash of Text, by which VMs refer to it.
	Sum  uint64
	Text []byte
}

// documentHistory holds the most recent configuration texts in force. A peer that holds one of
// them can be sent the next one as a delta.
type documentHistory struct {
	// docs is ordered from oldest to newest.
	docs  []Document
	bytes int
	// limit bounds bytes if it is not 0, in place of maxHistoryBytes.
	limit int
}

// add appends a text and drops the oldest ones above the limits.
func (d *documentHistory) add(text []byte) {
	d.docs = append(d.docs, Document{Sum: xxhash.Sum64(text), Text: text})
	d.bytes += len(text)
	limit := d.limit
	if limit == 0 {
		limit = maxHistoryBytes
	}
	drop := 0
	for drop < len(d.docs)-1 && (d.bytes > limit || len(d.docs)-drop > maxHistoryDocuments) {
		d.bytes -= len(d.docs[drop].Text)
		drop++
	}
	if drop > 0 {
		d.docs = slices.Clone(d.docs[drop:])
	}
}

// latest returns the newest document, or the zero Document if there is none.
func (d *documentHistory) latest() Document {
	if len(d.docs) == 0 {
		return Document{}
	}
	return d.docs[len(d.docs)-1]
}

// find returns the document with a hash, or the zero Document if it is not held.
func (d *documentHistory) find(sum uint64) Document {
	for _, doc := range d.docs {
		if doc.Sum == sum {
			return doc
		}
	}
	return Document{}
}
