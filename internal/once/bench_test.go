package once

import (
	"runtime"
	"testing"
)

// BenchmarkOperation is one operation from its key to its kept outcome, as
// docs/CAPACITY.md needs it: time, and memory held per operation.
func BenchmarkOperation(b *testing.B) {
	table := newTable("vm-1", 1)
	lease := *table.Issue(0, "office")
	digest := DigestOf("pay", []byte(`{"key":"royalty-17"}`))
	before := heap()
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
	b.ReportMetric(float64(heap()-before)/float64(b.N), "held-B/op")
	runtime.KeepAlive(table)
}

// BenchmarkParseKey is what every keyed request costs before any decision.
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

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
