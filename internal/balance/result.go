package balance

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// settled is how long after a pattern's end all is to be as usual.
const settled = 3 * time.Second

const (
	// longest is the longest answer time that is told apart.
	longest = time.Minute
	// digits is how many digits of an answer time are kept.
	digits = 3
)

// outcome is how a caller's query ended at last.
type outcome struct {
	// coverage is the part of the shards in the answer, 0 without one.
	coverage float64
	refused  bool
	took     time.Duration
	// tryTook is how long the last try took.
	tryTook time.Duration
}

// Count is the queries of a kind in a span of a run.
type Count struct {
	Asked   int `json:"asked"`
	Whole   int `json:"whole"`
	Partial int `json:"partial"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Second is those of Late that were in time from the second try on.
	Second int `json:"second"`
	// Congested is the tries that were refused for congestion.
	Congested int `json:"congested"`
	// Worth is the sum of what callers got of each: 1 for a whole answer in time.
	Worth float64 `json:"worth"`
	// Coverage is the sum of the answers' coverage, late ones included.
	Coverage float64 `json:"coverage"`
}

// InTime is the answers in time.
func (c *Count) InTime() int { return c.Whole + c.Partial }

// Result is what one run showed.
type Result struct {
	Pattern string `json:"pattern"`
	Way     string `json:"way"`
	Seed    uint64 `json:"seed"`
	// During the pattern and from three seconds after its end on, by kind.
	During map[string]*Count `json:"during"`
	After  map[string]*Count `json:"after"`
	// Sends to upstreams in all, Extra those that were not a part's first.
	Sends int `json:"sends"`
	Extra int `json:"extra"`
	// took is the times of the answers during the pattern in microseconds.
	took *hdrhistogram.Histogram

	begin, end time.Time
}

func newResult(o *Options) Result {
	r := Result{Pattern: o.Pattern.Name, Seed: o.Seed, During: map[string]*Count{}, After: map[string]*Count{}}
	r.took = hdrhistogram.New(1, longest.Microseconds(), digits)
	for _, k := range o.Kinds {
		r.During[k.Name], r.After[k.Name] = &Count{}, &Count{}
	}
	r.begin, r.end = startTime.Add(o.Begin), startTime.Add(o.End)
	return r
}

// span is where a caller's query counts, nil for nowhere.
func (r *Result) span(c *caller) *Count {
	switch {
	case !c.began.Before(r.begin) && c.began.Before(r.end):
		return r.During[c.kind.Name]
	case c.began.After(r.end.Add(settled)):
		return r.After[c.kind.Name]
	default:
		return nil
	}
}

// count takes in how a query ended.
func (r *Result) count(c *caller, o outcome) {
	to := r.span(c)
	if to == nil {
		return
	}
	if to == r.During[c.kind.Name] && o.coverage > 0 {
		// An error means that it is longer than the histogram's range.
		_ = r.took.RecordValue(min(o.took, longest).Microseconds())
	}
	to.add(c.kind, o)
}

// countCongested takes in a try that was refused for congestion.
func (r *Result) countCongested(c *caller) {
	if to := r.span(c); to != nil {
		to.Congested++
	}
}

func (n *Count) add(k *Kind, o outcome) {
	n.Asked++
	n.Coverage += o.coverage
	switch {
	case o.coverage == 0 && o.refused:
		n.Refused++
	case o.coverage == 0:
		n.Failed++
	case o.took > k.Objective:
		n.Late++
		worth := lateWorth
		if o.tryTook <= k.Objective && o.tryTook < o.took {
			n.Second++
			worth = secondWorth
		}
		n.Worth += worth * o.coverage * o.coverage
	case o.coverage < 1:
		n.Partial++
		n.Worth += o.coverage * o.coverage
	default:
		n.Whole++
		n.Worth++
	}
}

// Sum adds up the kinds of a span.
func Sum(counts map[string]*Count) Count {
	var sum Count
	for _, c := range counts {
		sum.Asked += c.Asked
		sum.Whole += c.Whole
		sum.Partial += c.Partial
		sum.Late += c.Late
		sum.Refused += c.Refused
		sum.Failed += c.Failed
		sum.Second += c.Second
		sum.Congested += c.Congested
		sum.Worth += c.Worth
		sum.Coverage += c.Coverage
	}
	return sum
}

// Goodput is the answers in time a second during the pattern.
func (r *Result) Goodput() float64 {
	during := Sum(r.During)
	return float64(during.InTime()) / r.end.Sub(r.begin).Seconds()
}

// Quantile is the answer time that a part of the answers is within.
func (r *Result) Quantile(part float64) time.Duration {
	return time.Duration(r.took.ValueAtQuantile(100*part)) * time.Microsecond
}

// share is a part of those asked.
func (c *Count) share(n int) float64 { return float64(n) / float64(max(1, c.Asked)) }

// worthByKind lists the mean worth of each kind.
func worthByKind(counts map[string]*Count) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		c := counts[name]
		out = append(out, fmt.Sprintf("%s %.3f", name, c.Worth/float64(max(1, c.Asked))))
	}
	return strings.Join(out, ", ")
}

// Write prints results for people.
func Write(to io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "pattern\tway\tseed\tasked\tworth\tin time a second\tpartial\tlate\tsecond try\trefused\tfailed\tcoverage\tp50 ms\tp99 ms\textra sends\tworth after\tworth by kind\t")
	for i := range results {
		r := &results[i]
		during, after := Sum(r.During), Sum(r.After)
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%.3f\t%.0f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.3f\t%.3f\t%s\t\n",
			r.Pattern, r.Way, r.Seed, during.Asked, during.Worth/float64(max(1, during.Asked)), r.Goodput(),
			during.share(during.Partial), during.share(during.Late), during.share(during.Second), during.share(during.Refused), during.share(during.Failed),
			during.Coverage/float64(max(1, during.Whole+during.Partial+during.Late)),
			r.Quantile(0.5).Seconds()*1e3, r.Quantile(0.99).Seconds()*1e3,
			float64(r.Extra)/float64(max(1, r.Sends)), after.Worth/float64(max(1, after.Asked)), worthByKind(r.During))
	}
	return tw.Flush()
}
