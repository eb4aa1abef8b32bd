package idempotency

import "testing"

// FuzzParseKey checks that a text is either rejected or equal to the canonical
// text of the parsed key.
func FuzzParseKey(f *testing.F) {
	table := newTable("vm-1", 1)
	lease := table.Issue(0, "office")
	for _, text := range []string{
		(&Key{Lease: *lease, Counter: 7}).String(),
		lease.Prefix(),
		lease.Prefix() + ".007",
		"op1~~0~0~0~.0",
		"order-17",
		"",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		key, err := ParseKey(text)
		if err != nil {
			return
		}
		if key.String() != text || len(text) > MaxKeyLength || key.VM == "" {
			t.Fatalf("%q is read as %q", text, key)
		}
		d := table.Begin(0, "office", key, Digest{}, 10)
		ours := key.Prefix() == lease.Prefix()
		if (d.Verdict != Foreign) != ours {
			t.Fatalf("%q: %s", text, d.Verdict)
		}
	})
}
