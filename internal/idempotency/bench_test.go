package idempotency

import (
	"runtime"
	"testing"
)

// BenchmarkOperation measures the time and the retained memory of one operation
// from its key to its stored outcome. docs/CAPACITY.md uses both figures.
func BenchmarkOperation(b *testing.B) {
	table := newTable("vm-1", 1)
	lease := *table.Issue(0, "office")
	digest := DigestOf("pay", []byte(`{"key":"royalty-17"}`))
	before := heapBytes()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		key := &Key{Lease: lease, Counter: uint64(i)}
		if d := table.Begin(0, "office", key, digest, b.N); d.Verdict != New {
			b.Fatal(d.Verdict)
		}
		table.Finish(0, "office", key, "", true)
	}
	b.StopTimer()
	b.ReportMetric(float64(heapBytes()-before)/float64(b.N), "held-B/op")
	runtime.KeepAlive(table)
}

// BenchmarkParseKey measures the cost of a request with a key before any
// decision.
func BenchmarkParseKey(b *testing.B) {
	table := newTable("vm-1", 1)
	text := (&Key{Lease: *table.Issue(0, "office"), Counter: 12}).String()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseKey(text); err != nil {
			b.Fatal(err)
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
