// Package bench measures the decisions under load and faults: each scenario runs
// a whole deployment in this process under the plain baseline and under the
// current policy, and checks every property afterwards. It holds no policy.
//
// The machine is shared with whatever else runs on it, so figures are noisy: the
// ratios of one run count, not its milliseconds.
package bench

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// DefaultSeed fixes arrivals and service times.
const DefaultSeed = 11

const (
	pairTime = 3 * time.Second
	// pairsAtOnce is how many fleets of the pairs run side by side.
	pairsAtOnce = 4
)

// Options choose what to run.
type Options struct {
	// Only, when set, runs the scenarios whose name holds it.
	Only string
	Seed uint64
	// Pairs runs all pairs of faults as well.
	Pairs bool
	// Progress gets a line for each scenario.
	Progress io.Writer
}

// Report is all scenarios.
type Report struct {
	Seed      uint64     `json:"seed"`
	Path      *Path      `json:"path,omitempty"`
	Scenarios []Scenario `json:"scenarios"`
	Pairs     []Pair     `json:"pairs"`
}

// Scenario is one scenario under both policies.
type Scenario struct {
	Name     string  `json:"name"`
	About    string  `json:"about"`
	Baseline *Result `json:"baseline"`
	Current  *Result `json:"current"`
}

// Pair is two faults at once under the current policy.
type Pair struct {
	Name   string  `json:"name"`
	Result *Result `json:"result"`
}

// Run measures.
func Run(opts Options) (*Report, error) {
	report := &Report{Seed: opts.Seed}
	if strings.Contains("path", opts.Only) {
		path, err := measurePath(opts.Seed)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		report.Path = path
	}
	for _, s := range scenarios() {
		if !strings.Contains(s.name, opts.Only) {
			continue
		}
		out, err := both(&s, opts.Seed)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		report.Scenarios = append(report.Scenarios, *out)
		fmt.Fprintf(opts.Progress, "%s: broken %d\n", s.name, len(out.Current.Broken))
	}
	if !opts.Pairs {
		return report, nil
	}
	var err error
	report.Pairs, err = runPairs(pairs(pairTime), opts)
	return report, trace.Wrap(err)
}

func both(s *scenario, seed uint64) (*Scenario, error) {
	baseline, err := execute(s, pb.Routing_DIRECT, seed)
	if err != nil {
		return nil, err
	}
	current, err := execute(s, pb.Routing_OWNER, seed)
	if err != nil {
		return nil, err
	}
	return &Scenario{Name: s.name, About: s.about, Baseline: baseline, Current: current}, nil
}

func runPairs(list []scenario, opts Options) ([]Pair, error) {
	out := make([]Pair, len(list))
	var group errgroup.Group
	group.SetLimit(pairsAtOnce)
	for i := range list {
		group.Go(func() error {
			res, err := execute(&list[i], pb.Routing_OWNER, opts.Seed+uint64(i))
			out[i] = Pair{Name: list[i].name, Result: res}
			return err
		})
	}
	return out, group.Wait()
}

// Err is an error when a property was broken under the current policy.
func (r *Report) Err() error {
	var broken []string
	for _, s := range r.Scenarios {
		if n := len(s.Current.Broken); n > 0 {
			broken = append(broken, fmt.Sprintf("%s (%d)", s.Name, n))
		}
	}
	for _, p := range r.Pairs {
		if n := len(p.Result.Broken); n > 0 {
			broken = append(broken, fmt.Sprintf("%s (%d)", p.Name, n))
		}
	}
	if len(broken) == 0 {
		return nil
	}
	return trace.CompareFailed("properties broken in: %s", strings.Join(broken, "; "))
}
