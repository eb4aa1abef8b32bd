package catalog

import (
	"fmt"
	"testing"
)

// Former texts take bounded memory, whatever their size, and the one in force is there.
func TestFormerDocumentsAreBounded(t *testing.T) {
	for _, size := range []int{10, 100_000, keptBytes / 2, 2 * keptBytes} {
		d := documents{}
		for i := range 3 * keptTexts {
			text := make([]byte, size)
			copy(text, fmt.Sprint(i))
			d.keep(text)
			if last := d.newest(); &last.Text[0] != &text[0] || d.find(last.Sum).Sum != last.Sum {
				t.Fatalf("size %d: the newest is not kept", size)
			}
		}
		total := 0
		for _, doc := range d.kept {
			total += len(doc.Text)
		}
		if total != d.bytes || len(d.kept) > keptTexts || total > max(keptBytes, size) {
			t.Errorf("size %d: %d texts of %d bytes, counted %d", size, len(d.kept), total, d.bytes)
		}
	}
}

func TestADocumentThatIsNotKept(t *testing.T) {
	d := documents{}
	d.keep([]byte("a"))
	if got := d.find(1); got.Text != nil || (&documents{}).newest().Text != nil {
		t.Errorf("%v", got)
	}
}
