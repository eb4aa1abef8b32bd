// Package capacity measures, on one machine, the slopes from which
// docs/CAPACITY.md works out what the target size costs. It runs the real
// decision packages and codecs on generated input and changes nothing.
//
// Membership and the spread of configuration are measured by the benchmarks of
// their own packages, which have simulated networks; "make capacity" runs both.
package capacity

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// patience is how long each slope is measured.
const patience = 250 * time.Millisecond

// Slope is one measured figure.
type Slope struct {
	Role string `json:"role"`
	What string `json:"what"`
	// Size is what the figure was measured at.
	Size  string  `json:"size"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// Report is all slopes.
type Report struct {
	Processors int     `json:"processors"`
	Slopes     []Slope `json:"slopes"`
}

// Run measures everything, in a few seconds.
func Run() (*Report, error) {
	r := &Report{Processors: runtime.NumCPU()}
	r.ownership()
	r.codec()
	if err := r.streams(); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := r.merge(); err != nil {
		return nil, trace.Wrap(err)
	}
	r.fanOut()
	return r, nil
}

func (r *Report) add(role, what, size string, value float64, unit string) {
	r.Slopes = append(r.Slopes, Slope{Role: role, What: what, Size: size, Value: value, Unit: unit})
}

// Write prints the slopes for people.
func (r *Report) Write(to io.Writer) {
	fmt.Fprintf(to, "measured on %d shared processors\n", r.Processors)
	tw := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "role\twhat\tsize\tvalue\tunit")
	for _, s := range r.Slopes {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%.4g\t%s\n", s.Role, s.What, s.Size, s.Value, s.Unit)
	}
	_ = tw.Flush()
}

// cost is what one call of a function takes.
type cost struct {
	time   time.Duration
	bytes  float64
	allocs float64
}

// measure calls do until patience has passed.
func measure(do func()) cost {
	do()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	n := 0
	for time.Since(start) < patience {
		do()
		n++
	}
	took := time.Since(start)
	runtime.ReadMemStats(&after)
	return cost{
		time:   took / time.Duration(n),
		bytes:  float64(after.TotalAlloc-before.TotalAlloc) / float64(n),
		allocs: float64(after.Mallocs-before.Mallocs) / float64(n),
	}
}
