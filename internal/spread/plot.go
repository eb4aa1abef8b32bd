package spread

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	// plotWidth and plotHeight fit a page.
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// plotPoints is how many points a curve has.
	plotPoints = 200
)

// Plot draws, for each size of fleet, the share of changes that have reached a VM by a
// time after them. The format follows the file's ending: .svg, .png or .pdf.
func Plot(path string, results []Result) error {
	p := plot.New()
	p.Title.Text = "Time until VMs have a change"
	p.X.Label.Text = "seconds after the change"
	p.Y.Label.Text = "share of VMs and changes"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	for i, size := range sizesOf(results) {
		line, err := plotter.NewLine(distribution(results, size))
		if err != nil {
			return trace.Wrap(err, "the curve of %d VMs", size)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(fmt.Sprintf("%d VMs", size), line)
	}
	return trace.Wrap(p.Save(plotWidth, plotHeight, path), "the plot could not be written to %s", path)
}

// sizesOf is the sizes of the fleets, in order of their first result.
func sizesOf(results []Result) []int {
	var out []int
	seen := map[int]bool{}
	for _, r := range results {
		if !seen[r.VMs] {
			seen[r.VMs] = true
			out = append(out, r.VMs)
		}
	}
	return out
}

// distribution is the share of the delays of one size of fleet up to each of some times.
func distribution(results []Result, vms int) plotter.XYs {
	var delays []time.Duration
	longest := time.Duration(0)
	for _, r := range results {
		if r.VMs == vms {
			delays = append(delays, r.Delays...)
			longest = max(longest, r.Latest)
		}
	}
	points := make(plotter.XYs, plotPoints+1)
	for i := range points {
		at := longest * time.Duration(i) / plotPoints
		points[i].X = at.Seconds()
		points[i].Y = shareUpTo(delays, at)
	}
	return points
}

func shareUpTo(delays []time.Duration, at time.Duration) float64 {
	n := 0
	for _, d := range delays {
		if d <= at {
			n++
		}
	}
	return float64(n) / float64(max(1, len(delays)))
}
