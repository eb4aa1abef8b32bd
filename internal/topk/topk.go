// Package topk merges the records of several shards' answers into the k greatest.
package topk

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of a record as defined by the upstream interface.
const RecordBytes = 16

// Merge returns the k greatest records of all parts, concatenated, greatest first. Records are
// compared byte by byte; duplicates are kept. Trailing bytes of a part that are shorter than a
// record are ignored.
func Merge(parts [][]byte, k int) []byte {
	var records [][]byte
	for _, p := range parts {
		for ; len(p) >= RecordBytes; p = p[RecordBytes:] {
			records = append(records, p[:RecordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(max(k, 0), len(records))]
	out := make([]byte, 0, len(records)*RecordBytes)
	for _, r := range records {
		out = append(out, r...)
	}
	return out
}
