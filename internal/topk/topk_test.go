package topk

import (
	"bytes"
	"sort"
	"testing"

	"pgregory.net/rapid"
)

// For any parts, Merge returns the first k of all records in descending order, keeps
// duplicates and drops trailing bytes.
func TestMergeAgreesWithSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := rapid.IntRange(0, 12).Draw(t, "k")
		var parts [][]byte
		var all []string
		for range rapid.IntRange(0, 5).Draw(t, "parts") {
			var part []byte
			for range rapid.IntRange(0, 6).Draw(t, "records") {
				r := bytes.Repeat([]byte{byte(rapid.IntRange(0, 3).Draw(t, "byte"))}, RecordBytes)
				part = append(part, r...)
				all = append(all, string(r))
			}
			part = append(part, make([]byte, rapid.IntRange(0, RecordBytes-1).Draw(t, "rest"))...)
			parts = append(parts, part)
		}
		sort.Sort(sort.Reverse(sort.StringSlice(all)))
		want := ""
		for _, r := range all[:min(k, len(all))] {
			want += r
		}
		if got := string(Merge(parts, k)); got != want {
			t.Fatalf("%x, want %x", got, want)
		}
	})
}
