package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func key(id uint64) Key { return Key{VM: "vm-1", Incarnation: 7, ID: id} }

func smallLedger() *Ledger {
	return NewLedger(LedgerOptions{Tombstones: 2, TombstoneAge: time.Second, Idempotent: 3, NonIdempotent: 2, Age: 10 * time.Second})
}

// A request runs only once if its frame arrives again, while the first copy
// waits or after its answer.
func TestDuplicate(t *testing.T) {
	g := NewWithT(t)
	l := smallLedger()
	g.Expect(l.Arrive(at(0), key(1), false)).To(Equal(Fresh))
	g.Expect(l.Arrive(at(1), key(1), false)).To(Equal(InFlight))
	l.Close(key(1))
	g.Expect(l.Arrive(at(2), key(1), false)).To(Equal(Answered))
	other := key(1)
	other.Incarnation = 8
	g.Expect(l.Arrive(at(2), other, false)).To(Equal(Fresh), "another process counts its own ids")
}

// A cancellation that overtakes its request on another stream still stops it:
// the ledger remembers cancellations of unknown ids.
func TestTombstone(t *testing.T) {
	g := NewWithT(t)
	l := smallLedger()
	g.Expect(l.Cancel(at(0), key(1))).To(BeFalse())
	g.Expect(l.Arrive(at(999), key(1), true)).To(Equal(Cancelled))
	g.Expect(l.Arrive(at(1000), key(1), true)).To(Equal(Answered), "a later copy does not run either")
	l.Cancel(at(1000), key(2))
	g.Expect(l.Arrive(at(2000), key(2), true)).To(Equal(Fresh), "a tombstone ends with its age")
	l.Close(key(2))
	l.Cancel(at(2001), key(2))
	g.Expect(l.tombstones.positions).To(BeEmpty(), "an answered request leaves nothing to cancel")
}

// Memory stays bounded when more ids arrive within the age than the ledger
// holds, and idempotent ids do not evict a non-idempotent one, which would then
// run twice.
func TestLedgerBounds(t *testing.T) {
	g := NewWithT(t)
	l := smallLedger()
	g.Expect(l.Arrive(at(0), key(1), false)).To(Equal(Fresh))
	for id := uint64(10); id < 100; id++ {
		l.Arrive(at(1), key(id), true)
		l.Close(key(id))
		l.Cancel(at(1), key(id+1000))
	}
	g.Expect(l.Len()).To(Equal(3 + 2 + 1))
	g.Expect(l.Arrive(at(2), key(1), false)).To(Equal(InFlight))
	g.Expect(l.Arrive(at(2), key(2), false)).To(Equal(Fresh))
	g.Expect(l.Arrive(at(2), key(3), false)).To(Equal(Full), "refused rather than forgetting")
	g.Expect(l.Arrive(at(10_000), key(3), false)).To(Equal(Fresh))
}

// TestLedgerProperties sends, repeats, answers and cancels at random. Within the
// age an id is Fresh at most once, and never after its cancellation, and the
// number of remembered ids stays bounded.
func TestLedgerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opts := LedgerOptions{Tombstones: 4, TombstoneAge: time.Second, Idempotent: 4, NonIdempotent: 4, Age: 5 * time.Second}
		l := NewLedger(opts)
		now := 0
		admitted := map[uint64]int{}
		cancelled := map[uint64]int{}
		ids := rapid.Uint64Range(1, 12)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				id := ids.Draw(t, "id")
				if l.Arrive(at(now), key(id), false) != Fresh {
					return
				}
				if when, ok := admitted[id]; ok && now-when < 5000 {
					t.Fatalf("id %d admitted twice", id)
				}
				if when, ok := cancelled[id]; ok && now-when < 1000 && len(cancelled) <= opts.Tombstones {
					t.Fatalf("id %d admitted after its cancellation", id)
				}
				admitted[id] = now
			},
			"close": func(t *rapid.T) { l.Close(key(ids.Draw(t, "id"))) },
			"cancel": func(t *rapid.T) {
				id := ids.Draw(t, "id")
				if _, ok := admitted[id]; !ok {
					cancelled[id] = now
				}
				l.Cancel(at(now), key(id))
			},
			"wait": func(t *rapid.T) { now += rapid.IntRange(0, 700).Draw(t, "ms") },
			"": func(t *rapid.T) {
				if l.Len() > 12 {
					t.Fatalf("remembers %d ids", l.Len())
				}
			},
		})
	})
}

// Memory does not grow with each restart of a VM: processes whose ids have all
// expired are removed.
func TestLedgerForgetsSenders(t *testing.T) {
	g := NewWithT(t)
	l := smallLedger()
	for i := range uint64(3 * maxSenders) {
		k := Key{VM: "vm-1", Incarnation: i, ID: 1}
		g.Expect(l.Arrive(at(int(i)), k, true)).To(Equal(Fresh))
		l.Close(k)
	}
	g.Expect(len(l.senders.byName)).To(BeNumerically("<=", maxSenders+1))
}
