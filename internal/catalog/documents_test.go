package catalog

import (
	"fmt"
	"testing"
)

// The history's memory is bounded for documents of any size, and the document in force is
// always held.
func TestDocumentHistoryIsBounded(t *testing.T) {
	for _, size := range []int{10, 100_000, maxHistoryBytes / 2, 2 * maxHistoryBytes} {
		d := documentHistory{}
		for i := range 3 * maxHistoryDocuments {
			text := make([]byte, size)
			copy(text, fmt.Sprint(i))
			d.add(text)
			if last := d.latest(); &last.Text[0] != &text[0] || d.find(last.Sum).Sum != last.Sum {
				t.Fatalf("size %d: the newest document is not held", size)
			}
		}
		total := 0
		for _, doc := range d.docs {
			total += len(doc.Text)
		}
		if total != d.bytes || len(d.docs) > maxHistoryDocuments || total > max(maxHistoryBytes, size) {
			t.Errorf("size %d: %d documents of %d bytes, counted %d", size, len(d.docs), total, d.bytes)
		}
	}
}

func TestUnknownDocument(t *testing.T) {
	d := documentHistory{}
	d.add([]byte("a"))
	if got := d.find(1); got.Text != nil || (&documentHistory{}).latest().Text != nil {
		t.Errorf("%v", got)
	}
}
