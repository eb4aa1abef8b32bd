package quarantine

import (
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/fingerprint"
)

// HasPending reports whether any entry waits to be sent to all peers.
func (t *Table) HasPending() bool {
	for _, r := range t.records {
		if r.pending {
			return true
		}
	}
	return false
}

// TakePending returns up to limit entries to send to all peers now, the most severe first, and
// marks them as sent.
func (t *Table) TakePending(now time.Time, limit int) []Entry {
	var pending []fingerprint.Fingerprint
	for content, r := range t.records {
		if r.pending {
			pending = append(pending, content)
		}
	}
	slices.SortFunc(pending, func(a, b fingerprint.Fingerprint) int {
		return t.records[b].compareSeverity(now, t.records[a])
	})
	var out []Entry
	for _, content := range pending[:min(limit, len(pending))] {
		r := t.records[content]
		out = append(out, r.entry(now, content))
		r.pending, r.unsent, r.announceTrial, r.shared = false, false, false, true
	}
	return out
}

// NextRepeats returns up to limit entries to send to peers again. Successive calls go through
// all shared records in turn. Peers may lack an entry because a datagram was lost, or because
// they were disconnected or started later.
func (t *Table) NextRepeats(now time.Time, limit int) []Entry {
	var out []Entry
	for range len(t.records) {
		content := t.nextInRing()
		r := t.records[content]
		if r == nil || !r.shouldRepeat(now) {
			continue
		}
		out = append(out, r.entry(now, content))
		if len(out) == limit {
			break
		}
	}
	return out
}

// nextInRing returns the next record to re-send. After the last one it starts over with the
// current records.
func (t *Table) nextInRing() fingerprint.Fingerprint {
	if t.ringPos >= len(t.ring) {
		t.ring = t.ring[:0]
		for content := range t.records {
			t.ring = append(t.ring, content)
		}
		t.ringPos = 0
	}
	t.ringPos++
	return t.ring[t.ringPos-1]
}

// shouldRepeat reports whether a record is to be re-sent. Crashes that make no suspect belong
// mostly to innocent requests. If they were re-sent for as long as they are kept, they would
// fill all messages after the loss of many upstreams.
func (r *record) shouldRepeat(now time.Time) bool {
	if !r.shared {
		return false
	}
	return r.standing(now) != Free || now.Sub(r.lastCrash) < repeatCrashesFor
}

// Snapshot returns up to limit entries for a VM that starts, the most severe first.
func (t *Table) Snapshot(now time.Time, limit int) []Entry {
	var shared []fingerprint.Fingerprint
	for content, r := range t.records {
		if r.shouldRepeat(now) {
			shared = append(shared, content)
		}
	}
	slices.SortFunc(shared, func(a, b fingerprint.Fingerprint) int {
		return t.records[b].compareSeverity(now, t.records[a])
	})
	var out []Entry
	for _, content := range shared[:min(limit, len(shared))] {
		out = append(out, t.records[content].entry(now, content))
	}
	return out
}

// entry returns the record as it is sent to peers. The ages of the ended processes serve to tell
// further processes from them; they are left out once the request is a suspect by its crashes.
func (r *record) entry(now time.Time, content fingerprint.Fingerprint) Entry {
	e := Entry{
		Content: content, Epoch: r.epoch, Rounds: r.rounds, Blocks: r.blocks,
		Age: max(0, now.Sub(r.lastCrash)), Trial: r.announceTrial,
	}
	var endedAt []time.Time
	e.Ended, endedAt = r.ended.list()
	if len(e.Ended) < suspectCrashes {
		for _, at := range endedAt {
			e.EndedAges = append(e.EndedAges, max(0, now.Sub(at)))
		}
	}
	return e
}
