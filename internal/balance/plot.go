package balance

import (
	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	// plotWidth and plotHeight fit a page.
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// barWidth is that of one way at one pattern.
	barWidth = 4 * vg.Millimeter
)

// Plot draws the mean worth of a query by pattern, a bar for each way. The format follows
// the file's ending: .svg, .png or .pdf.
func Plot(path string, results []Result) error {
	p := plot.New()
	p.Title.Text = "What a query is worth"
	p.Y.Label.Text = "mean of the seeds, 1 for a whole answer in time"
	p.Y.Min, p.Y.Max = 0, 1
	patterns, ways := namesOf(results)
	for i, way := range ways {
		values := make(plotter.Values, len(patterns))
		for j, pattern := range patterns {
			values[j] = meanWorth(results, pattern, way)
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return trace.Wrap(err, "the bars of %s", way)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(2*i-len(ways)+1) / 2
		p.Add(bars)
		p.Legend.Add(way, bars)
	}
	p.NominalX(patterns...)
	return trace.Wrap(p.Save(plotWidth, plotHeight, path), "the plot could not be written to %s", path)
}

// namesOf is the patterns and ways of some results, in order of their first.
func namesOf(results []Result) (patterns, ways []string) {
	seenPatterns, seenWays := map[string]bool{}, map[string]bool{}
	for i := range results {
		r := &results[i]
		if !seenPatterns[r.Pattern] {
			seenPatterns[r.Pattern] = true
			patterns = append(patterns, r.Pattern)
		}
		if !seenWays[r.Way] {
			seenWays[r.Way] = true
			ways = append(ways, r.Way)
		}
	}
	return patterns, ways
}

// meanWorth is what a query of a pattern was worth in one way, over the seeds.
func meanWorth(results []Result, pattern, way string) float64 {
	worth, asked := 0.0, 0
	for i := range results {
		if r := &results[i]; r.Pattern == pattern && r.Way == way {
			during := Sum(r.During)
			worth += during.Worth
			asked += during.Asked
		}
	}
	return worth / float64(max(1, asked))
}
