package spread

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// settle is how long a fleet runs before the changes begin.
const settle = 4 * time.Second

// MixedLinks are VMs' links in turn on large sites, in bytes a second: 20 to 200 Mbit/s.
var MixedLinks = []float64{20 * Mbit, 50 * Mbit, 100 * Mbit, 200 * Mbit}

// Experiment is a storm of changes over fleets of some sizes.
type Experiment struct {
	Sizes []int
	Seeds []uint64
	// Bound is the time within which every VM must have a change.
	Bound time.Duration
	// Document is the configuration's size in bytes.
	Document int
	// Gap is the time between two changes, Length how long they go on.
	Gap, Length time.Duration
	// LoseReaders ends the VMs that read the store after a third of the time.
	LoseReaders bool
	Plain       bool
	// Evacuate begins and ends evacuations of a data centre all the while.
	Evacuate bool
}

// Result is what one run showed.
type Result struct {
	VMs  int    `json:"vms"`
	Seed uint64 `json:"seed"`
	// Median, P99 and Latest are times from a change to a VM that has it or a later one.
	Median time.Duration `json:"median_ns"`
	P99    time.Duration `json:"p99_ns"`
	Latest time.Duration `json:"latest_ns"`
	// Evacuated is the longest time from the begin of an evacuation until no VM sends there
	// any more, 0 without one.
	Evacuated time.Duration `json:"evacuated_ns,omitempty"`
	// Overdue says which VM first passed the bound, empty for none.
	Overdue string  `json:"overdue,omitempty"`
	Traffic Traffic `json:"traffic"`
	// Delays are all times from a change to a VM, in order.
	Delays []time.Duration `json:"-"`
}

// Run plays every size with every seed.
func (e *Experiment) Run() []Result {
	var out []Result
	for _, vms := range e.Sizes {
		for _, seed := range e.Seeds {
			out = append(out, e.run(vms, seed))
		}
	}
	return out
}

func (e *Experiment) run(vms int, seed uint64) Result {
	fl := New(Options{VMs: vms, Seed: seed, Bound: e.Bound, Document: e.Document, Links: MixedLinks, Plain: e.Plain})
	fl.Run(settle)
	fl.evacuating = e.Evacuate
	fl.Storm(e.Gap, e.Length/3)
	if e.LoseReaders {
		fl.Kill(fl.Readers()...)
	}
	fl.Storm(e.Gap, time.Second)
	fl.SetPeers()
	fl.Storm(e.Gap, 2*e.Length/3-time.Second)
	fl.Run(e.Bound)
	return fl.Result()
}

// Result is what the fleet has shown so far.
func (fl *Fleet) Result() Result {
	delays := slices.Clone(fl.delays)
	slices.Sort(delays)
	r := Result{VMs: fl.opts.VMs, Seed: fl.opts.Seed, Latest: fl.late, Evacuated: fl.evacuation.latest, Traffic: fl.traffic, Delays: delays}
	if n := len(delays); n > 0 {
		r.Median, r.P99 = delays[n/2], delays[n*99/100]
	}
	if e := &fl.evacuation; e.latest > fl.opts.Bound && fl.overdue == nil {
		r.Overdue = fmt.Sprintf("an evacuation was in force everywhere after %v", e.latest)
	}
	if fl.overdue != nil {
		r.Overdue = fl.overdue.Error()
	}
	return r
}

// Write prints results for people.
func Write(to io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "VMs\tseed\tmedian s\tp99 s\tlatest s\tevacuated s\tpages MB: inside\tdata centres\tregions\tdatagrams MB\tstore MB\tcalls\tpulls\tgiven up\t")
	for _, r := range results {
		t := r.Traffic
		datagrams := t.Inside.Datagrams + t.DataCentres.Datagrams + t.Regions.Datagrams
		fmt.Fprintf(tw, "%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t\n",
			r.VMs, r.Seed, r.Median.Seconds(), r.P99.Seconds(), r.Latest.Seconds(), r.Evacuated.Seconds(),
			t.Inside.Pages/1e6, t.DataCentres.Pages/1e6, t.Regions.Pages/1e6, datagrams/1e6, t.StoreBytes/1e6, t.StoreCalls, t.Pulls, t.PullsGivenUp)
	}
	for _, r := range results {
		if r.Overdue != "" {
			fmt.Fprintf(tw, "%d VMs, seed %d: past the bound: %s\n", r.VMs, r.Seed, r.Overdue)
		}
	}
	return tw.Flush()
}
