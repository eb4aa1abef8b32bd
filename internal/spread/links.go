package spread

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/catalogsync"
)

const (
	// overhead is bytes of a page beside the items in it.
	overhead = 300
	// packedChange is bytes of a page packed against a document that both sides hold, and
	// packedWhole the share that is left of one packed alone: measured by the benchmarks of
	// package pagepack.
	packedChange = 200
	packedWhole  = 1.0 / 7
)

// link is what one VM or the store can send and take, in bytes a second; 0 stands for no
// bound. Its transfers share it evenly.
type link struct {
	up, down   float64
	nUp, nDown int
}

// transfer is an answer on its way.
type transfer struct {
	from, to *link
	receiver *vm
	left     float64
	give     func() []catalogsync.Action
	giveUp   time.Time
	fail     func() []catalogsync.Action
}

// Kind is the bytes between VMs that took one kind of way.
type Kind struct {
	Pages     float64 `json:"pages"`
	Datagrams float64 `json:"datagrams"`
}

// Traffic is what was sent, in bytes, and the calls and pulls made.
type Traffic struct {
	Inside       Kind    `json:"inside_data_centres"`
	DataCentres  Kind    `json:"between_data_centres"`
	Regions      Kind    `json:"between_regions"`
	StoreBytes   float64 `json:"store_bytes"`
	StoreCalls   int     `json:"store_calls"`
	StaleCalls   int     `json:"stale_calls"`
	Pulls        int     `json:"pulls"`
	PullsGivenUp int     `json:"pulls_given_up"`
}

// between is the kind of way between two VMs.
func (t *Traffic) between(a, b *vm) *Kind {
	switch {
	case a.peer.Region != b.peer.Region:
		return &t.Regions
	case a.peer.DataCentre != b.peer.DataCentre:
		return &t.DataCentres
	default:
		return &t.Inside
	}
}

// Pages is the bytes of all pages between VMs.
func (t *Traffic) Pages() float64 { return t.Inside.Pages + t.DataCentres.Pages + t.Regions.Pages }

// send begins a transfer to a VM, which gives it up after a while.
func (fl *Fleet) send(from *link, to *vm, bytes float64, patience time.Duration, give, fail func() []catalogsync.Action) {
	tr := &transfer{from: from, to: &to.link, receiver: to, left: bytes, give: give, fail: fail, giveUp: fl.now.Add(patience)}
	tr.from.nUp++
	tr.to.nDown++
	fl.transfers = append(fl.transfers, tr)
}

// flow moves transfers on by one step.
func (fl *Fleet) flow() {
	for _, tr := range fl.transfers {
		tr.left -= tr.rate() * step.Seconds()
	}
	var open []*transfer
	for _, tr := range fl.transfers {
		if fl.ended(tr) {
			tr.from.nUp--
			tr.to.nDown--
		} else {
			open = append(open, tr)
		}
	}
	fl.transfers = open
}

// ended tells whether a transfer is over, and hands over what came of it.
func (fl *Fleet) ended(tr *transfer) bool {
	switch {
	case tr.receiver.dead:
	case tr.left <= 0:
		fl.later(tr.receiver, 2*hop, tr.give)
	case !fl.now.Before(tr.giveUp):
		fl.later(tr.receiver, 0, tr.fail)
	default:
		return false
	}
	return true
}

// rate is a transfer's bytes a second.
func (tr *transfer) rate() float64 {
	rate := 1e12
	if tr.from.up > 0 {
		rate = min(rate, tr.from.up/float64(tr.from.nUp))
	}
	if tr.to.down > 0 {
		rate = min(rate, tr.to.down/float64(tr.to.nDown))
	}
	return rate
}

// pull asks a peer for a page.
func (fl *Fleet) pull(v *vm, p catalogsync.Pull) {
	fl.traffic.Pulls++
	from := fl.find(p.Address)
	fail := func() []catalogsync.Action {
		fl.traffic.PullsGivenUp++
		return v.f.PullFailed(fl.now, p.ID)
	}
	if from.dead {
		fl.later(v, p.StallTimeout, fail)
		return
	}
	page := from.f.State().PageSince(p.After)
	size := fl.pageBytes(from, v, page.Items)
	fl.send(&from.link, v, size, p.Timeout, func() []catalogsync.Action {
		fl.traffic.between(from, v).Pages += size
		return v.f.Pulled(fl.now, p.ID, page)
	}, fail)
}

// pageBytes is the size of a page on its way.
func (fl *Fleet) pageBytes(from, to *vm, items []catalog.Item) float64 {
	size := sizeOf(items)
	held := to.f.State().InForce().Sum
	switch {
	case fl.opts.Plain:
		return overhead + size
	case from.f.State().Document(held).Text != nil:
		return overhead + packedChange
	default:
		return overhead + size*packedWhole
	}
}

func sizeOf(items []catalog.Item) float64 {
	bytes := 0
	for _, it := range items {
		bytes += len(it.Value)
	}
	return float64(bytes)
}
