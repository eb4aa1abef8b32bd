package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/callerapi"
	"sycamorekeel.example/sycamorekeel/internal/frontend"
)

type answer = frontend.Answer

// Report is what a demo measured.
type Report struct {
	// First is one line for the first answer of each kind.
	First []string `json:"first"`
	Rows  []*Row   `json:"rows"`
	// Broken names every property that did not hold.
	Broken []string `json:"broken"`
}

// Row is one kind of one customer.
type Row struct {
	User     string  `json:"user"`
	Customer string  `json:"customer"`
	Kind     string  `json:"kind"`
	Requests int     `json:"requests"`
	Refused  int     `json:"refused"`
	P50MS    float64 `json:"p50_ms"`
	P99MS    float64 `json:"p99_ms"`
	// Coverage is the mean over the answers, 0 to 1.
	Coverage float64 `json:"coverage"`
	// ExtraPercent is the upstream executions beyond one for each shard.
	ExtraPercent float64 `json:"extra_percent"`

	hist   *hdrhistogram.Histogram
	shards int64
}

func (r *Row) add(rep *reply, _ time.Duration) {
	r.Requests++
	if rep.answer == nil {
		r.Refused++
		return
	}
	r.Coverage += rep.answer.Coverage.Fraction
	r.shards += int64(rep.answer.Coverage.ShardsTotal)
}

func (r *Row) finish(l load) {
	if n := r.Requests - r.Refused; n > 0 {
		r.Coverage /= float64(n)
	}
	r.P50MS = float64(r.hist.ValueAtQuantile(50)) / 1000
	r.P99MS = float64(r.hist.ValueAtQuantile(99)) / 1000
	if r.shards > 0 {
		r.ExtraPercent = 100 * (float64(l.served)/float64(r.shards) - 1)
	}
}

func (r *Report) broken(format string, args ...any) {
	r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
}

// Err is an error when a property was broken.
func (r *Report) Err() error {
	if len(r.Broken) == 0 {
		return nil
	}
	return trace.CompareFailed("properties broken: %s", strings.Join(r.Broken, "; "))
}

// Write prints the report for people.
func (r *Report) Write(to io.Writer) {
	for _, line := range r.First {
		fmt.Fprintln(to, line)
	}
	fmt.Fprintln(to)
	sortRows(r.Rows)
	tw := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "user\tcustomer\tkind\trequests\trefused\tp50 ms\tp99 ms\tcoverage\textra load")
	for _, row := range r.Rows {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%d\t%.1f\t%.1f\t%.2f%%\t%.1f%%\n", row.User, row.Customer, row.Kind,
			row.Requests, row.Refused, row.P50MS, row.P99MS, 100*row.Coverage, row.ExtraPercent)
	}
	_ = tw.Flush()
	fmt.Fprintf(to, "\nproperties broken: %d\n", len(r.Broken))
	for _, b := range r.Broken {
		fmt.Fprintln(to, "  "+b)
	}
}

func describe(row *Row, rep *reply, took time.Duration) string {
	head := fmt.Sprintf("%-10s %-13s %-16s %6.1f ms  ", row.User, row.Customer, row.Kind, float64(took.Microseconds())/1000)
	if rep.answer == nil {
		return head + fmt.Sprintf("refused: %s (%s)", rep.err.Reason, rep.err.Ran)
	}
	a := rep.answer
	return head + fmt.Sprintf("%d hits, coverage %.1f%% of %d shards, snapshot %d/%d",
		len(a.Hits), 100*a.Coverage.Fraction, a.Coverage.ShardsTotal, a.Snapshot.Generation, a.Snapshot.Version)
}

func readReply(resp *fasthttp.Response) (*reply, error) {
	if resp.StatusCode() == fasthttp.StatusOK {
		rep := &reply{answer: &answer{}}
		return rep, trace.Wrap(json.Unmarshal(resp.Body(), rep.answer))
	}
	var body callerapi.ErrorBody
	err := json.Unmarshal(resp.Body(), &body)
	return &reply{err: &body.Error}, trace.Wrap(err)
}
