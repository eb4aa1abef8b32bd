package quarantine

import (
	"fmt"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/fingerprint"
)

// What each request costs while a VM holds as many others as it may: the hash of what is
// asked, and the look at the table.
func BenchmarkStandingInAFullTable(b *testing.B) {
	t := New()
	for i := range maxRecords {
		for u := range uint32(4) {
			at := start.Add(time.Duration(u) * 2 * time.Second)
			t.Crashed(at, content(i), Crash{Start: u, SentAt: at.Add(-30 * ms), EndedAt: at})
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

// What a crash costs once the table is full: the least important record is looked for.
func BenchmarkCrashInAFullTable(b *testing.B) {
	t := New()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		at := start.Add(time.Duration(i) * ms)
		t.Crashed(at, content(i), Crash{Start: 1, SentAt: at.Add(-30 * ms), EndedAt: at})
	}
}
