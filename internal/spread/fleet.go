// Package spread is a model, in virtual time, of how changes of the configuration reach
// every VM of a fleet. The decisions are those of packages follow and catalog; the store,
// the links with their bandwidth, and the datagrams between VMs are modelled. One process
// plays hundreds of VMs in less than the time that it stands for, and a seed repeats a run.
package spread

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/catalogsync"
	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/routing"
)

const (
	// hop is the time of a message one way: between regions it takes about as long.
	hop = 15 * time.Millisecond
	// step is by how much the model moves on.
	step = 25 * time.Millisecond
	// probePeriod is how often a VM probes a peer, as in package node; one probe of
	// probeFar leaves the data centre where that has neighbours enough, about as in
	// package membership.
	probePeriod = 400 * time.Millisecond
	probeFar    = 5
	neighbours  = 8
	// datagramBytes is about the size of a datagram with some members' updates in it.
	datagramBytes = 300
	// lostShare is the share of datagrams that are lost.
	lostShare = 0.1
	// regions is how many regions the VMs are in, in turn; each has two data centres.
	regions = 3
	// seeds is how many VMs the others know of from the start.
	seeds = 3
	// documentKey is the item that changes write.
	documentKey = "config"
	// evacuationTurn is how long an evacuation lasts in a storm, and the time to the next.
	evacuationTurn = 3 * time.Second
	// evacuationPrefix begins the items of evacuated data centres.
	evacuationPrefix = "evacuate/"
)

// aloneAfter is how long a process that starts waits for its seeds, as in package node.
const aloneAfter = 80 * time.Millisecond

// How many peers of a data centre, of each other one of the region and of each other region
// hear an announcement from the store, and one that is passed on: as in package membership.
var (
	announceWide   = [locality.Distances]int{2, 2, 2}
	announceNarrow = [locality.Distances]int{2, 2, 0}
)

// startTime is when a run begins.
var startTime = time.Unix(1000, 0)

// Options is what a fleet is made of.
type Options struct {
	VMs  int
	Seed uint64
	// Bound is the time within which every VM must have a change.
	Bound time.Duration
	// Document is the size in bytes of the configuration, which each change replaces.
	Document int
	// Links are what VMs send and take, in turn, in bytes a second; none for no bound.
	Links []float64
	// Restart says that all processes of a running fleet start anew, in place of a first
	// start: nobody is there to answer them.
	Restart bool
	// Plain says that pages travel as between VMs of releases that differ: not packed.
	Plain bool
}

// Fleet is followers over a model of the store and of the network between them.
type Fleet struct {
	opts Options
	rand *rand.Rand
	now  time.Time
	vms  []*vm

	store     store
	transfers []*transfer
	traffic   Traffic
	delays    []time.Duration
	// late is the longest time after a change at which a VM did not have it; overdue says
	// which VM first passed the bound.
	late    time.Duration
	overdue error
	// evacuation is the one that was asked for last.
	evacuation evacuation
	// evacuating says that storms have evacuations, turnAt when the next begins or ends.
	evacuating bool
	turnAt     time.Time
}

// vm is one VM of the fleet.
type vm struct {
	peer catalogsync.Peer
	f    *catalogsync.Follower
	// dead VMs do nothing; cut ones do not reach the store.
	dead, cut bool
	// due are the answers on their way.
	due []answer
	// gossip is when this VM next tells a peer.
	gossip time.Time
	link   link
	// counted is the position up to which its delays are noted.
	counted catalog.Position
}

// answer is something that comes to a VM at a time.
type answer struct {
	at   time.Time
	give func() []catalogsync.Action
}

// New is a fleet of which all processes start at the same moment.
func New(opts Options) *Fleet {
	fl := &Fleet{opts: opts, rand: rand.New(rand.NewPCG(opts.Seed, 1)), now: startTime, store: newStore()}
	for i := range opts.VMs {
		fl.vms = append(fl.vms, fl.newVM(i))
	}
	if opts.Restart {
		// The VMs get to know each other a little later, as their seeds do not answer.
		for _, v := range fl.vms {
			fl.later(v, aloneAfter, func() []catalogsync.Action { return v.f.SeedsEmpty(fl.now) })
		}
		return fl
	}
	fl.SetPeers()
	return fl
}

func (fl *Fleet) newVM(i int) *vm {
	name := fmt.Sprintf("vm%d", i)
	region := fmt.Sprintf("r%d", i%regions)
	dataCentre := fmt.Sprintf("%s-%d", region, i/regions%2)
	v := &vm{
		peer: catalogsync.Peer{VM: name, Region: region, DataCentre: dataCentre, Address: name},
		f: catalogsync.New(startTime, catalogsync.Options{
			VM: name, Place: locality.Place{Region: region, DataCentre: dataCentre}, ChangeBound: fl.opts.Bound, FirstStart: !fl.opts.Restart, Seed: i < seeds, Decoder: decoder{},
			Random: rand.New(rand.NewPCG(fl.opts.Seed, uint64(i))),
		}),
	}
	if len(fl.opts.Links) > 0 {
		rate := fl.opts.Links[i%len(fl.opts.Links)]
		v.link = link{up: rate, down: rate}
	}
	return v
}

// evacuation is a data centre whose upstreams are to get nothing.
type evacuation struct {
	dataCentre string
	// active says that it has not ended.
	active  bool
	begunAt time.Time
	// missing is whether a VM still sent there when it was last looked at; latest is the
	// longest time until all VMs that live had stopped, over all evacuations.
	missing bool
	latest  time.Duration
}

// decoder takes the document for the configuration, evacuations for what they are, and all
// else for upstreams.
type decoder struct{}

func (decoder) Kind(key string) catalog.Kind {
	switch {
	case key == documentKey:
		return catalog.Configuration
	case strings.HasPrefix(key, evacuationPrefix):
		return catalog.Evacuation
	default:
		return catalog.Registration
	}
}

func (decoder) Evacuated(key string) string { return strings.TrimPrefix(key, evacuationPrefix) }

func (decoder) Config(it catalog.Item) (*routing.Config, error) {
	c := &routing.Config{}
	if len(it.Value) >= versionBytes {
		c.Version = binary.LittleEndian.Uint64(it.Value)
	}
	return c, nil
}

func (decoder) Upstream(it catalog.Item) (catalog.Upstream, error) {
	return catalog.Upstream{ID: it.Key, Service: "s"}, nil
}

// SetPeers tells every VM which others live.
func (fl *Fleet) SetPeers() {
	for _, v := range fl.vms {
		var peers []catalogsync.Peer
		for _, o := range fl.vms {
			if o != v && !o.dead {
				peers = append(peers, o.peer)
			}
		}
		v.f.SetPeers(peers)
	}
}

func (fl *Fleet) find(address string) *vm {
	for _, v := range fl.vms {
		if v.peer.Address == address {
			return v
		}
	}
	return nil
}

// Readers are the VMs that read the store now, by their places in the fleet.
func (fl *Fleet) Readers() []int {
	var out []int
	for i, v := range fl.vms {
		if !v.dead && v.f.Reader(fl.now) {
			out = append(out, i)
		}
	}
	return out
}

// Kill ends VMs without a word.
func (fl *Fleet) Kill(vms ...int) {
	for _, i := range vms {
		fl.vms[i].dead = true
	}
}

// Cut takes the store away from VMs.
func (fl *Fleet) Cut(vms ...int) {
	for _, i := range vms {
		fl.vms[i].cut = true
	}
}

// Forge lets one VM hold a revision that the store does not have.
func (fl *Fleet) Forge(vm int, revision uint64) {
	at := catalog.Position{Era: fl.store.at.Era, Revision: revision}
	made := catalog.Item{Key: documentKey, Value: []byte("forged"), Era: at.Era, Revision: at.Revision}
	fl.vms[vm].f.State().Replace(fl.now, at, []catalog.Item{made})
}

// Refuse lets the store refuse every call at once, or serve again.
func (fl *Fleet) Refuse(refuses bool) { fl.store.refuses = refuses }

// SetLink changes what one VM can send and take, in bytes a second.
func (fl *Fleet) SetLink(vm int, rate float64) { fl.vms[vm].link.up, fl.vms[vm].link.down = rate, rate }

// Copy is what the store holds now.
func (fl *Fleet) Copy() Copy { return Copy{fl.store.copy()} }

// Copy is what the store held at a moment.
type Copy struct{ store store }

// Restore lets the store come back from a copy: what was written since is lost, and
// revisions are given out again.
func (fl *Fleet) Restore(c Copy) { fl.store.restore(c.store) }

// ShowFormer lets answers that may be stale show a copy, under the present era.
func (fl *Fleet) ShowFormer(c Copy) { fl.store.former = &c.store }

// Change writes the next version of the document.
func (fl *Fleet) Change() { fl.store.write(fl.now, fl.opts.Document) }

// Evacuate begins the evacuation of a data centre.
func (fl *Fleet) Evacuate(dataCentre string) {
	fl.store.evacuate(fl.now, dataCentre, true)
	e := &fl.evacuation
	e.dataCentre, e.begunAt, e.active, e.missing = dataCentre, fl.now, true, true
}

// EndEvacuation ends the evacuation that was asked for last.
func (fl *Fleet) EndEvacuation() {
	fl.store.evacuate(fl.now, fl.evacuation.dataCentre, false)
	fl.evacuation.active, fl.evacuation.missing = false, false
}

// checkEvacuation notes for how long VMs have gone on sending to an evacuated data centre.
func (fl *Fleet) checkEvacuation() {
	e := &fl.evacuation
	if !e.missing {
		return
	}
	e.missing = false
	for _, v := range fl.vms {
		if !v.dead && !v.f.State().View().Evacuated[e.dataCentre] {
			e.missing = true
		}
	}
	if e.missing {
		e.latest = max(e.latest, fl.now.Sub(e.begunAt)+step)
	}
}

// Storm lets changes come one after the other.
func (fl *Fleet) Storm(gap, length time.Duration) {
	for end := fl.now.Add(length); fl.now.Before(end); {
		fl.Change()
		fl.nextEvacuation()
		fl.Run(gap)
	}
}

// nextEvacuation begins and ends evacuations in turn where the storm has them.
func (fl *Fleet) nextEvacuation() {
	if !fl.evacuating || fl.now.Before(fl.turnAt) {
		return
	}
	fl.turnAt = fl.now.Add(evacuationTurn)
	if fl.evacuation.active {
		fl.EndEvacuation()
		return
	}
	fl.Evacuate(fl.vms[fl.rand.IntN(len(fl.vms))].peer.DataCentre)
}

// Run lets time pass.
func (fl *Fleet) Run(d time.Duration) {
	for end := fl.now.Add(d); fl.now.Before(end); fl.now = fl.now.Add(step) {
		fl.flow()
		for _, v := range fl.vms {
			if !v.dead {
				fl.move(v)
			}
		}
		fl.check()
		fl.checkEvacuation()
	}
}

// move lets one VM take in what has come and do what is due.
func (fl *Fleet) move(v *vm) {
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
		peer := fl.probed(v)
		fl.tell(v, peer)
		fl.tell(peer, v)
	}
}

// check notes what has reached each VM, and holds it to the bound.
func (fl *Fleet) check() {
	for _, v := range fl.vms {
		if v.dead || fl.now.Sub(startTime) < fl.opts.Bound {
			v.counted = v.f.State().Position()
			continue
		}
		fl.countDelays(v)
		at, ok := fl.store.next(v.f.State().Position())
		if !ok {
			continue
		}
		fl.late = max(fl.late, fl.now.Sub(at))
		if fl.now.Sub(at) > fl.opts.Bound && fl.overdue == nil {
			fl.overdue = fmt.Errorf("%s is at %v after %v; the next change came %v ago", v.peer.VM, v.f.State().Position(), fl.now.Sub(startTime), fl.now.Sub(at))
		}
	}
}

func (fl *Fleet) countDelays(v *vm) {
	known := v.f.State().Position()
	if v.counted.Era != known.Era {
		v.counted = known
	}
	for v.counted.Before(known) {
		v.counted.Revision++
		if at, ok := fl.store.since[v.counted]; ok {
			fl.delays = append(fl.delays, fl.now.Sub(at))
		}
	}
}

// do carries out what a follower asks for.
func (fl *Fleet) do(v *vm, actions []catalogsync.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case catalogsync.List:
			fl.list(v, a.AllowStale)
		case catalogsync.Watch:
			fl.watch(v, a, fl.now.Add(a.Wait))
			fl.traffic.StoreCalls++
		case catalogsync.Pull:
			fl.pull(v, a)
		case catalogsync.Announce:
			fl.announce(v, a.AllRegions)
		}
	}
}

// distance is how far one VM is from another.
func distance(from, to *vm) locality.Distance {
	place := locality.Place{Region: from.peer.Region, DataCentre: from.peer.DataCentre}
	return place.DistanceTo(to.peer.Region, to.peer.DataCentre)
}

// probed is the VM that another one probes next.
func (fl *Fleet) probed(v *vm) *vm {
	far := len(fl.vms) < regions*2*(neighbours+1) || fl.rand.IntN(probeFar) == 0
	for {
		peer := fl.vms[fl.rand.IntN(len(fl.vms))]
		if far || distance(v, peer) == locality.Near {
			return peer
		}
	}
}

func (fl *Fleet) announce(v *vm, wide bool) {
	most := announceNarrow
	if wide {
		most = announceWide
	}
	told := map[string]int{}
	for _, i := range fl.rand.Perm(len(fl.vms)) {
		to := fl.vms[i]
		d := distance(v, to)
		group := to.peer.DataCentre
		if d == locality.Far {
			group = to.peer.Region
		}
		if to != v && !to.dead && told[group] < most[d] {
			told[group]++
			fl.tell(v, to)
		}
	}
}

// tell sends a datagram.
func (fl *Fleet) tell(v, to *vm) {
	if to == v || to.dead || v.dead {
		return
	}
	fl.traffic.between(v, to).Datagrams += datagramBytes
	if fl.rand.Float64() < lostShare {
		return
	}
	at, age := v.f.State().Position(), fl.now.Sub(v.f.Confirmed())
	if v.f.Confirmed().IsZero() {
		age = catalogsync.Unconfirmed
	}
	fl.later(to, hop, func() []catalogsync.Action { return to.f.PeerAnnounced(fl.now, v.peer, at, age) })
}

// later gives an answer after a while, unless the VM is dead by then.
func (fl *Fleet) later(v *vm, d time.Duration, give func() []catalogsync.Action) {
	v.due = append(v.due, answer{fl.now.Add(d), give})
}
