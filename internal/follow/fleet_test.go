package follow

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

const (
	// hop is the time of a message one way.
	hop = 15 * time.Millisecond
	// step is by how much the model moves on.
	step = 25 * time.Millisecond
	// How many peers hear an announcement, about as in package membership, and how
	// often a VM probes one of them.
	announceWide   = 18
	announceNarrow = 4
	probePeriod    = 400 * time.Millisecond
	// watchSlack and listPatience are after which the store's client gives up an
	// answer: a watch's beyond its wait, and one page of a listing.
	watchSlack   = 600 * time.Millisecond
	listPatience = 1200 * time.Millisecond
	// overhead is bytes of a message beside the items in it.
	overhead = 300
	// packedChange is bytes of a page packed against a document that both sides hold, and
	// packedWhole the share that is left of one packed alone (a seventh, measured in
	// package pagepack).
	packedChange = 200
	packedWhole  = 1.0 / 7
	// storeText is how much longer values are in the store's answers than in pages.
	storeText = 4.0 / 3
	// documentKey is the item that changes write.
	documentKey = "config"
)

// fleet is followers over a model of the store and of the network between them.
type fleet struct {
	t     *testing.T
	rand  *rand.Rand
	now   time.Time
	bound time.Duration
	vms   []*vm

	// revision and since are the store's revision and when it came; written holds
	// all versions that it has had, lowest revision first.
	revision uint64
	since    map[uint64]time.Time
	written  []catalog.Item
	// document is the size of what each change writes, in bytes.
	document int
	// packed says that pages are packed; VMs of differing releases send them plainly.
	packed bool
	calls  int

	store     link
	transfers []*transfer
	// pulled is bytes of pages between VMs, lost the pulls that were given up.
	pulled float64
	lost   int
	// late is the longest time after a change at which a VM did not have it.
	late time.Duration
}

type vm struct {
	peer   Peer
	f      *Follower
	dead   bool
	cut    bool
	slowBy time.Duration
	// due are the answers on their way.
	due []answer
	// gossip is when this VM next tells a peer.
	gossip time.Time
	link   link
}

type answer struct {
	at   time.Time
	give func() []Action
}

// link is what one VM or the store can send and take, in bytes a second; 0 stands
// for no bound. Its transfers share it evenly.
type link struct {
	up, down   float64
	nUp, nDown int
}

// transfer is an answer on its way.
type transfer struct {
	from, to *link
	receiver *vm
	left     float64
	give     func() []Action
	giveUp   time.Time
	fail     func() []Action
}

func newFleet(t *testing.T, seed uint64, n int) *fleet {
	fl := &fleet{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: start, bound: bound, revision: 1,
		since: map[uint64]time.Time{}, written: []catalog.Item{put(documentKey, 1)}, document: 1,
	}
	for i := range n {
		name := fmt.Sprintf("vm%d", i)
		region := fmt.Sprintf("r%d", i%3)
		v := &vm{peer: Peer{VM: name, Region: region, Address: name}, f: newFollower(start, name, region, true)}
		v.f.opts.Seed = i < 3
		fl.vms = append(fl.vms, v)
	}
	fl.setPeers()
	return fl
}

// setBound changes the time within which each VM is to have a change.
func (fl *fleet) setBound(d time.Duration) {
	fl.bound = d
	for _, v := range fl.vms {
		v.f.SetBound(d)
	}
}

func (fl *fleet) setPeers() {
	for _, v := range fl.vms {
		var peers []Peer
		for _, o := range fl.vms {
			if o != v && !o.dead {
				peers = append(peers, o.peer)
			}
		}
		v.f.SetPeers(peers)
	}
}

func (fl *fleet) find(address string) *vm {
	for _, v := range fl.vms {
		if v.peer.Address == address {
			return v
		}
	}
	return nil
}

// later gives an answer after a while, unless the VM is dead by then.
func (fl *fleet) later(v *vm, d time.Duration, give func() []Action) {
	v.due = append(v.due, answer{fl.now.Add(d + v.slowBy), give})
}

// send begins a transfer to a VM, which gives it up after a while.
func (fl *fleet) send(from *link, to *vm, bytes float64, patience time.Duration, give, fail func() []Action) {
	tr := &transfer{from: from, to: &to.link, receiver: to, left: bytes, give: give, fail: fail, giveUp: fl.now.Add(patience)}
	tr.from.nUp++
	tr.to.nDown++
	fl.transfers = append(fl.transfers, tr)
}

// flow moves transfers on by one step.
func (fl *fleet) flow() {
	var open []*transfer
	for _, tr := range fl.transfers {
		tr.left -= tr.rate() * step.Seconds()
	}
	for _, tr := range fl.transfers {
		switch {
		case tr.receiver.dead:
		case tr.left <= 0:
			fl.later(tr.receiver, 2*hop, tr.give)
		case !fl.now.Before(tr.giveUp):
			fl.later(tr.receiver, 0, tr.fail)
		default:
			open = append(open, tr)
			continue
		}
		tr.from.nUp--
		tr.to.nDown--
	}
	fl.transfers = open
}

// rate is a transfer's bytes a second.
func (tr *transfer) rate() float64 {
	const unbounded = 1e12
	rate := float64(unbounded)
	if tr.from.up > 0 {
		rate = min(rate, tr.from.up/float64(tr.from.nUp))
	}
	if tr.to.down > 0 {
		rate = min(rate, tr.to.down/float64(tr.to.nDown))
	}
	return rate
}

func sizeOf(items []catalog.Item) float64 {
	bytes := overhead
	for _, it := range items {
		bytes += len(it.Value)
	}
	return float64(bytes)
}

func (fl *fleet) do(v *vm, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case List:
			fl.calls++
			fl.list(v)
		case Watch:
			fl.calls++
			fl.watch(v, a, fl.now.Add(a.Wait))
		case Pull:
			fl.pull(v, a)
		case Announce:
			times := announceNarrow
			if a.Wide {
				times = announceWide
			}
			for range times {
				fl.tell(v, fl.vms[fl.rand.IntN(len(fl.vms))])
			}
		}
	}
}

func (fl *fleet) list(v *vm) {
	fail := func() []Action { return v.f.ReadFailed(fl.now, false) }
	if v.cut {
		fl.later(v, time.Second, fail)
		return
	}
	revision, items := fl.revision, fl.written[len(fl.written)-1:]
	fl.send(&fl.store, v, storeText*sizeOf(items), listPatience, func() []Action { return v.f.Listed(fl.now, revision, items) }, fail)
}

// watch answers when the store has moved on or the wait is over.
func (fl *fleet) watch(v *vm, w Watch, until time.Time) {
	fail := func() []Action { return v.f.ReadFailed(fl.now, false) }
	fl.later(v, hop, func() []Action {
		switch {
		case v.cut && fl.now.Before(until.Add(time.Second)), !v.cut && fl.revision <= w.After && fl.now.Before(until):
			fl.watch(v, w, until)
			return nil
		case v.cut:
			return fail()
		case fl.revision > w.After:
			revision, changes := fl.revision, fl.changesAbove(w.After)
			patience := until.Add(watchSlack).Sub(fl.now)
			fl.send(&fl.store, v, storeText*sizeOf(changes), patience, func() []Action { return v.f.Watched(fl.now, w.After, revision, changes) }, fail)
			return nil
		default:
			return v.f.Watched(fl.now, w.After, w.After, nil)
		}
	})
}

func (fl *fleet) changesAbove(revision uint64) []catalog.Item {
	for i, it := range fl.written {
		if it.Revision > revision {
			return fl.written[i:]
		}
	}
	return nil
}

func (fl *fleet) pull(v *vm, p Pull) {
	from := fl.find(p.Address)
	fail := func() []Action {
		fl.lost++
		return v.f.PullFailed(fl.now, p.ID)
	}
	if from.dead {
		fl.later(v, p.Stall, fail)
		return
	}
	page := from.f.State().PageSince(p.After)
	size := sizeOf(page.Items)
	held := v.f.State().InForce().Sum
	switch {
	case fl.packed && from.f.State().Document(held).Text != nil:
		size = overhead + packedChange
	case fl.packed:
		size = overhead + size*packedWhole
	}
	fl.send(&from.link, v, size, p.Timeout, func() []Action {
		fl.pulled += size
		return v.f.Pulled(fl.now, p.ID, page)
	}, fail)
}

// tell sends a datagram; one in ten is lost.
func (fl *fleet) tell(v, to *vm) {
	if to == v || to.dead || v.dead || fl.rand.IntN(10) == 0 {
		return
	}
	revision, age := v.f.State().Revision(), fl.now.Sub(v.f.Confirmed())
	if v.f.Confirmed().IsZero() {
		return
	}
	fl.later(to, hop, func() []Action { return to.f.Heard(fl.now, v.peer, revision, age) })
}

func (fl *fleet) run(d time.Duration) {
	for end := fl.now.Add(d); fl.now.Before(end); fl.now = fl.now.Add(step) {
		fl.flow()
		for _, v := range fl.vms {
			if !v.dead {
				fl.move(v)
			}
		}
		fl.check()
	}
}

func (fl *fleet) move(v *vm) {
	due := v.due
	v.due = nil
	for _, a := range due {
		if a.at.After(fl.now) {
			v.due = append(v.due, a)
			continue
		}
		fl.do(v, a.give())
	}
	fl.do(v, v.f.Tick(fl.now))
	if !fl.now.Before(v.gossip) {
		v.gossip = fl.now.Add(probePeriod)
		peer := fl.vms[fl.rand.IntN(len(fl.vms))]
		fl.tell(v, peer)
		fl.tell(peer, v)
	}
}

// check holds each VM to the bound.
func (fl *fleet) check() {
	for _, v := range fl.vms {
		if v.dead || fl.now.Sub(start) < fl.bound {
			continue
		}
		first := v.f.State().Revision() + 1
		at, ok := fl.since[first]
		if !ok {
			continue
		}
		fl.late = max(fl.late, fl.now.Sub(at))
		if fl.now.Sub(at) > fl.bound {
			fl.t.Fatalf("%s has revision %d at %v; %d came %v ago", v.peer.VM, first-1, fl.now.Sub(start), first, fl.now.Sub(at))
		}
	}
}

func (fl *fleet) change() {
	fl.revision++
	fl.since[fl.revision] = fl.now
	it := put(documentKey, fl.revision)
	it.Value = fl.textOf(fl.revision)
	fl.written = append(fl.written, it)
}

// textOf is the document's version of a revision.
func (fl *fleet) textOf(revision uint64) []byte {
	text := make([]byte, max(fl.document, 8))
	binary.LittleEndian.PutUint64(text, revision)
	return text
}

// readers are the VMs that read the store now.
func (fl *fleet) readers() []*vm {
	var out []*vm
	for _, v := range fl.vms {
		if !v.dead && v.f.Reader(fl.now) {
			out = append(out, v)
		}
	}
	return out
}
