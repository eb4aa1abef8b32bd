package follow

import (
	"fmt"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

// The fleet of these tests: VMs of unlike links, as on large sites.
const (
	stormBound = 5 * time.Second
	// stormGap is the time between two changes, stormTime how long they go on.
	stormGap  = 125 * time.Millisecond
	stormTime = 14 * time.Second
	mbit      = 1e6 / 8
	// storeLink is bytes a second that the store can send.
	storeLink = 1000 * mbit
)

// stormLinks are the links of VMs in turn, in bytes a second.
var stormLinks = []float64{20 * mbit, 50 * mbit, 100 * mbit, 200 * mbit}

// storm is a fleet that has settled before the changes begin.
func storm(t *testing.T, seed uint64, vms, document int) *fleet {
	fl := newFleet(t, seed, vms)
	fl.setBound(stormBound)
	fl.store = link{up: storeLink, down: storeLink}
	for i, v := range fl.vms {
		rate := stormLinks[i%len(stormLinks)]
		v.link = link{up: rate, down: rate}
	}
	fl.document = document
	fl.run(4 * time.Second)
	return fl
}

// Symptom: seconds after a change was acknowledged, some VMs answer a new route with
// "not found". Pulls between VMs fail by the dozen, and every few seconds all VMs read
// the store at once.
// Sequence: the configuration is large, and changes come several a second while VMs are
// lost. A VM's pull is given up; it asks again, for all versions since.
// Cause: a page held every version of the document since the one that the VM had, so
// that each failure made the next page larger, over the same link; no pull ended any
// more, and what the store gave instead grew as well.
// Proved by the sizes of pages and the versions that failed pulls asked for again.
func TestAStormOfChangesOverALargeDocument(t *testing.T) {
	for _, c := range []struct {
		name string
		harm func(*fleet)
	}{
		{"no loss", func(*fleet) {}},
		{"readers lost", func(fl *fleet) {
			for _, v := range fl.readers() {
				v.dead = true
			}
		}},
		{"every tenth VM lost", func(fl *fleet) {
			for i, v := range fl.vms {
				v.dead = v.dead || i%10 == 0
			}
		}},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", c.name, seed), func(t *testing.T) {
				fl := storm(t, seed, 70, 150_000)
				t.Cleanup(func() {
					t.Logf("latest %v, %d pulls lost, %.0f MB between VMs, %d calls", fl.late, fl.lost, fl.pulled/1e6, fl.calls)
				})
				fl.blow(stormTime / 3)
				c.harm(fl)
				fl.blow(time.Second)
				fl.setPeers()
				fl.blow(2 * stormTime / 3)
				fl.run(stormBound)
			})
		}
	}
}

// blow lets changes come for a while.
func (fl *fleet) blow(d time.Duration) {
	for end := fl.now.Add(d); fl.now.Before(end); {
		fl.change()
		fl.run(stormGap)
	}
}

// Symptom: in a storm of changes most VMs read the store at once whenever a few pulls
// fail, though each holds a change that is a second old at most.
// Sequence: a VM pulls what a peer had when it was asked; meanwhile the peer, or another
// one, has announced the next change.
// Cause: a VM took itself for confirmed only when it held the very revision announced
// last, which it never does while changes come faster than pulls end.
// Proved by the age of the confirmation beside the revision, which moves on.
func TestAVMThatKeepsUpIsConfirmed(t *testing.T) {
	const round = 300 * time.Millisecond
	f, now := reader()
	giver := Peer{VM: "b", Region: "r", Address: "b"}
	f.SetPeers([]Peer{giver})
	f.rank = 1
	revision := f.State().Revision()
	f.Watched(now, revision, revision, nil)
	asked := Pull{}
	for end := now.Add(4 * bound); now.Before(end); now = now.Add(round) {
		ended := asked
		revision++
		actions := f.Heard(now, giver, revision, hop)
		if ended.ID > 0 {
			page := catalog.Page{Revision: revision - 1, After: ended.After, Items: []catalog.Item{put("u1", revision-1)}}
			actions = f.Pulled(now, ended.ID, page)
		}
		for _, a := range actions {
			if p, ok := a.(Pull); ok {
				asked = p
			}
		}
		if age := now.Sub(f.Confirmed()); ended.ID > 0 && age > 2*round {
			t.Fatalf("at revision %d of %d the confirmation is %v old", f.State().Revision(), revision, age)
		}
	}
}

// A change travels as what changed: every VM has each change, or a later one, within half
// of the bound, whatever the size of the document, and what VMs send each other is a
// twentieth of what it is when the document travels whole.
func TestAChangeCostsWhatChanged(t *testing.T) {
	const document = 1_000_000
	for _, vms := range []int{9, 70, 300} {
		fl := storm(t, 1, vms, document)
		fl.packed = true
		before := fl.pulled
		fl.blow(stormTime)
		fl.run(stormBound)
		sent := fl.pulled - before
		t.Logf("%d VMs: latest %v, %d pulls lost, %.1f MB between VMs, %d calls", vms, fl.late, fl.lost, sent/1e6, fl.calls)
		if fl.late > stormBound/2 {
			t.Errorf("%d VMs: a change came after %v", vms, fl.late)
		}
		changes := stormTime.Seconds() / stormGap.Seconds()
		if whole := float64(vms) * changes / 3 * document; sent > whole/20 {
			t.Errorf("%d VMs: %.1f MB between VMs, of %.1f MB", vms, sent/1e6, whole/1e6)
		}
	}
}

// Symptom: one VM stays at an old version for good while its pulls fail all the time.
// Sequence: its link is slow, as while clients press, and a page takes longer than a pull
// may last; it asks the next peer, from the start, with the same time to do it.
// Cause: the time limit knew neither the size of a page nor what had come of it.
func TestASlowLinkIsNotCutOffForEver(t *testing.T) {
	fl := storm(t, 1, 9, 200_000)
	slow := fl.vms[4]
	slow.link = link{up: mbit, down: mbit}
	for range 4 {
		fl.change()
		fl.run(stormBound)
	}
	t.Logf("latest %v, %d pulls lost", fl.late, fl.lost)
}

// Symptom: after a change of a large document few VMs of a region have it, seconds later,
// though each of them asks for it all the time.
// Sequence: one VM of a region has the change first and tells all of them; all ask it at
// once, share its link, and are given up together.
// Cause: pulls were cut off by the time they took, and what had come of them was lost.
// Proved by the pulls from one peer that failed within the same 40 ms.
func TestALargeDocumentSpreadsFromVMToVM(t *testing.T) {
	for seed := range uint64(3) {
		fl := storm(t, seed, 70, 1_000_000)
		fl.change()
		fl.run(stormBound)
		t.Logf("seed %d: latest %v, %d pulls lost", seed, fl.late, fl.lost)
		if fl.lost > 0 || fl.late > stormBound/2 {
			t.Errorf("seed %d: the change came after %v", seed, fl.late)
		}
	}
}

// Symptom: no VM gets any further in a storm of changes of a very large document; the
// readers' calls to the store fail one after the other.
// Sequence: a reader's watch brings every version since the last; over its link that takes
// longer than an answer may, and the next watch asks for as many and those that came since.
// Cause: a watch that had failed was repeated as it was.
func TestAReaderThatCannotTakeAllVersionsTakesTheNewest(t *testing.T) {
	for seed := range uint64(3) {
		fl := storm(t, seed, 9, 1_000_000)
		fl.packed = true
		for _, v := range fl.vms {
			v.link = link{up: 20 * mbit, down: 20 * mbit}
		}
		fl.blow(stormTime)
		fl.run(stormBound)
		t.Logf("seed %d: latest %v, %d calls", seed, fl.late, fl.calls)
	}
}
