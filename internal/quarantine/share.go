package quarantine

import (
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/fingerprint"
)

// HasNews tells whether peers are to be told of something.
func (t *Table) HasNews() bool {
	for _, r := range t.records {
		if r.news {
			return true
		}
	}
	return false
}

// News is what all peers are to be told at once, most of it first what matters most; what is
// given counts as told.
func (t *Table) News(now time.Time, most int) []Entry {
	var fresh []fingerprint.Fingerprint
	for content, r := range t.records {
		if r.news {
			fresh = append(fresh, content)
		}
	}
	slices.SortFunc(fresh, func(a, b fingerprint.Fingerprint) int {
		return t.records[b].matters(now, t.records[a])
	})
	var out []Entry
	for _, content := range fresh[:min(most, len(fresh))] {
		r := t.records[content]
		out = append(out, r.entry(now, content))
		r.news, r.trial, r.shared = false, false, true
	}
	return out
}

// Repeat is some of what peers should know, another part with each call: a datagram may have
// been lost, and a VM may have been cut off or have started since.
func (t *Table) Repeat(now time.Time, most int) []Entry {
	var out []Entry
	for range len(t.records) {
		content := t.step()
		r := t.records[content]
		if r == nil || !r.repeats(now) {
			continue
		}
		out = append(out, r.entry(now, content))
		if len(out) == most {
			break
		}
	}
	return out
}

// step is the next record to be told again.
func (t *Table) step() fingerprint.Fingerprint {
	if t.next >= len(t.ring) {
		t.ring = t.ring[:0]
		for content := range t.records {
			t.ring = append(t.ring, content)
		}
		t.next = 0
	}
	t.next++
	return t.ring[t.next-1]
}

// repeats tells whether a record is worth being told again. Crashes that make no suspect are
// mostly of requests at no fault: told for as long as they are kept, they would make up all
// that is told after the loss of many upstreams.
func (r *record) repeats(now time.Time) bool {
	if !r.shared {
		return false
	}
	return r.standing(now) != Free || now.Sub(r.lastCrash) < repeatFor
}

// All is what a VM that starts is to be told, what matters most first.
func (t *Table) All(now time.Time, most int) []Entry {
	var shared []fingerprint.Fingerprint
	for content, r := range t.records {
		if r.repeats(now) {
			shared = append(shared, content)
		}
	}
	slices.SortFunc(shared, func(a, b fingerprint.Fingerprint) int {
		return t.records[b].matters(now, t.records[a])
	})
	var out []Entry
	for _, content := range shared[:min(most, len(shared))] {
		out = append(out, t.records[content].entry(now, content))
	}
	return out
}

func (r *record) entry(now time.Time, content fingerprint.Fingerprint) Entry {
	return Entry{
		Content: content, Epoch: r.epoch, Rounds: r.rounds, Blocks: r.blocks,
		Ended: slices.Clone(r.ended), Age: max(0, now.Sub(r.lastCrash)), Trial: r.trial,
	}
}
