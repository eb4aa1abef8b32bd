package spread

import (
	"fmt"
	"testing"
	"time"
)

// away is how long the store is away before it comes back from a copy.
const away = 300 * time.Millisecond

// lose lets a fleet that runs lose the last changes of its store: some documents, which
// every VM has.
func lose(vms int, seed uint64, bound time.Duration, changes int, cut ...int) *Fleet {
	fl := New(Options{VMs: vms, Seed: seed, Bound: bound, Document: 1000})
	fl.Run(5 * time.Second)
	fl.Change()
	copied := fl.Copy()
	for range changes {
		fl.Change()
	}
	fl.Run(2 * time.Second)
	fl.Cut(cut...)
	fl.Refuse(true)
	fl.Run(away)
	fl.Restore(copied)
	return fl
}

// behind is the VMs that do not have the newest document or an evacuation.
func (fl *Fleet) behind(dataCentre string) []string {
	var out []string
	for _, v := range fl.vms {
		view := v.f.State().View()
		if view.Config.Version != fl.store.version || !view.Evacuated[dataCentre] {
			out = append(out, fmt.Sprintf("%s: version %d of %d at revision %d, evacuated %v",
				v.peer.VM, view.Config.Version, fl.store.version, view.Revision, view.Evacuated))
		}
	}
	return out
}

// Guards against changes that VMs miss for good, as the store gave out their revisions
// before it came back from a copy.
func TestAChangeAtARevisionGivenOutTwiceReachesEveryVM(t *testing.T) {
	for _, c := range []struct {
		vms   int
		bound time.Duration
	}{{9, 3 * time.Second}, {70, 5 * time.Second}} {
		for seed := range uint64(5) {
			fl := lose(c.vms, seed, c.bound, 2)
			fl.Change()
			fl.Evacuate("r0-0")
			fl.Refuse(false)
			fl.Run(c.bound)
			if late := fl.behind("r0-0"); len(late) > 0 {
				t.Errorf("%d VMs, seed %d: %d have missed a change, as %s", c.vms, seed, len(late), late[0])
			}
		}
	}
}

// Guards against VMs that start with a stale listing of the store's former history, which it
// tells under its present era, and miss what is written at the same revisions.
func TestAStaleListingOfAFormerEraIsReplaced(t *testing.T) {
	for seed := range uint64(5) {
		fl := New(Options{VMs: 9, Seed: seed, Bound: 3 * time.Second, Document: 1000, Restart: true})
		copied := fl.Copy()
		fl.Change()
		fl.Change()
		former := fl.Copy()
		fl.Restore(copied)
		fl.ShowFormer(former)
		fl.Run(100 * time.Millisecond)
		fl.SetPeers()
		fl.Change()
		fl.Evacuate("r0-0")
		fl.Run(3 * time.Second)
		if late := fl.behind("r0-0"); len(late) > 0 {
			t.Errorf("seed %d: %d have missed a change, as %s", seed, len(late), late[0])
		}
	}
}

// Guards against a VM that takes what its peers have of the store's new history for old,
// until the revision rises above the highest one of before.
func TestAVMThatDoesNotReachTheStoreLearnsFromPeersThatItCameBack(t *testing.T) {
	for seed := range uint64(5) {
		const cut = 4
		fl := lose(9, seed, 3*time.Second, 4, cut)
		fl.Refuse(false)
		fl.Run(2 * time.Second)
		fl.Evacuate("r0-0")
		fl.Change()
		fl.Run(3 * time.Second)
		if late := fl.behind("r0-0"); len(late) > 0 {
			t.Errorf("seed %d: %d have missed a change, as %s", seed, len(late), late[0])
		}
	}
}
