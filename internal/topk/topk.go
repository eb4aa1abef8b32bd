// Package topk merges parts of fixed-size records into the greatest k of them.
package topk

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of a record, as the upstream interface fixes it.
const RecordBytes = 16

// Merge is the k greatest records of all parts, greatest first, compared byte by
// byte. Equal records all count. A remainder of a part that is shorter than a
// record is no record.
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
