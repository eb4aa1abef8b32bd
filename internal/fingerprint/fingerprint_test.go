package fingerprint

import "testing"

// Requests that differ in any field have different fingerprints, also if their concatenated
// fields are equal.
func TestOf(t *testing.T) {
	seen := map[Fingerprint]bool{}
	for _, c := range [][4]string{
		{"GET", "h", "/p", ""}, {"PUT", "h", "/p", ""}, {"GET", "h2", "/p", ""}, {"GET", "h", "/p?q", ""},
		{"GET", "h", "/p", "body"}, {"GET", "h/", "p", ""}, {"GET", "h", "", "/p"},
	} {
		f := Of(c[0], c[1], c[2], []byte(c[3]))
		if seen[f] {
			t.Errorf("%q has the fingerprint of another request", c)
		}
		seen[f] = true
		if f != Of(c[0], c[1], c[2], []byte(c[3])) {
			t.Errorf("%q has a different fingerprint on the second call", c)
		}
	}
}

// Measures the cost per answered request.
func BenchmarkOf(b *testing.B) {
	body := make([]byte, 200)
	b.ReportAllocs()
	for b.Loop() {
		Of("GET", "host.example", "/path/of/a/query", body)
	}
}
