package quarantine

import (
	"fmt"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/fingerprint"
)

// Measures the cost per request while the table is full: the fingerprint and the look-up.
func BenchmarkStandingInFullTable(b *testing.B) {
	t := New()
	for i := range maxRecords {
		for u := range uint32(4) {
			at := start.Add(time.Duration(u) * 2 * time.Second)
			t.Crashed(at, content(i), Crash{Instance: u, SentAt: at.Add(-30 * ms), EndedAt: at})
		}
	}
	now := start.Add(10 * time.Second)
	body := []byte(fmt.Sprintf("%200d", 1))
	b.ReportAllocs()
	for b.Loop() {
		if s, _ := t.Standing(now, fingerprint.Of("GET", "host.example", "/path/of/a/query", body)); s != Free {
			b.Fatal(s)
		}
	}
}

// Measures the cost of a crash while the table is full: the search for the record to evict.
func BenchmarkCrashInFullTable(b *testing.B) {
	t := New()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		at := start.Add(time.Duration(i) * ms)
		t.Crashed(at, content(i), Crash{Instance: 1, SentAt: at.Add(-30 * ms), EndedAt: at})
	}
}
