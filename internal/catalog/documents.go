package catalog

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// keptBytes bounds the texts of former configurations in memory: at a megabyte a
	// text, two of them. With one, VMs of a storm send each other ten times as much, with
	// four as much as with two (sycamorekeel experiment spread).
	keptBytes = 2 << 20
	// keptTexts bounds their number: changes of 5 s at ten a second, and some more.
	keptTexts = 64
)

// Document is the text of one version of a configuration.
type Document struct {
	// Sum is the hash of Text, by which VMs name it to each other.
	Sum  uint64
	Text []byte
}

// documents keeps the latest texts that were in force, so that a peer that holds one of
// them need not be sent the next one whole.
type documents struct {
	// kept holds them, the newest last.
	kept  []Document
	bytes int
}

func (d *documents) keep(text []byte) {
	d.kept = append(d.kept, Document{Sum: xxhash.Sum64(text), Text: text})
	d.bytes += len(text)
	drop := 0
	for drop < len(d.kept)-1 && (d.bytes > keptBytes || len(d.kept)-drop > keptTexts) {
		d.bytes -= len(d.kept[drop].Text)
		drop++
	}
	if drop > 0 {
		d.kept = slices.Clone(d.kept[drop:])
	}
}

// newest is the last one kept, the zero Document when there is none.
func (d *documents) newest() Document {
	if len(d.kept) == 0 {
		return Document{}
	}
	return d.kept[len(d.kept)-1]
}

// find is the text with a hash, the zero Document when it is not kept.
func (d *documents) find(sum uint64) Document {
	for _, doc := range d.kept {
		if doc.Sum == sum {
			return doc
		}
	}
	return Document{}
}
