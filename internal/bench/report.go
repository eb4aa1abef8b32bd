package bench

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
)

// Write prints the report for people.
func (r *Report) Write(to io.Writer) {
	fmt.Fprintln(to, "The machine is shared: compare the two policies of one scenario, not milliseconds between runs.")
	if r.Path != nil {
		r.Path.write(to)
	}
	if len(r.Scenarios) > 0 {
		r.writeScenarios(to)
	}
	r.writePairs(to)
}

func (p *Path) write(to io.Writer) {
	fmt.Fprintf(to, "path: direct call %.3f ms, one shard through a VM %.3f ms (%.1f times), %d shards %.3f ms (%.1f times); p50, idle\n",
		p.DirectP50MS, p.SingleP50MS, ratio(p.SingleP50MS, p.DirectP50MS), p.Shards, p.ScanP50MS, ratio(p.ScanP50MS, p.DirectP50MS))
	fmt.Fprintf(to, "path: busy, %.0f sub-requests/s, %.1f us of processor time and %.0f allocations each, callers and stand-ins included; a direct call alone %.1f us (%.1f times)\n\n",
		p.SubRequestsPerSecond, p.ProcessorUS, p.Allocations, p.DirectProcessorUS, ratio(p.ProcessorUS, p.DirectProcessorUS))
}

func (r *Report) writeScenarios(to io.Writer) {
	tw := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "scenario\tgroup\tpolicy\toffered\tsuccess\tgoodput/s\tp50 ms\tp99 ms\tp99.9 ms\tcoverage\tp99 ratio")
	for i := range r.Scenarios {
		r.Scenarios[i].write(tw)
	}
	_ = tw.Flush()
	fmt.Fprintln(to)
	tw = tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "scenario\tpolicy\texecutions\textra by cause\tshed\tconnections\trefused\trefusal p99 ms\tbroken")
	for _, s := range r.Scenarios {
		s.Baseline.write(tw, s.Name)
		s.Current.write(tw, "")
	}
	_ = tw.Flush()
	fmt.Fprintln(to)
	for _, s := range r.Scenarios {
		writeDetails(to, s.Name, s.Baseline)
		writeDetails(to, s.Name, s.Current)
	}
}

func (s *Scenario) write(to io.Writer) {
	for i, b := range s.Baseline.Groups {
		name := s.Name
		if i > 0 {
			name = ""
		}
		b.write(to, name, Baseline, "")
		if c, ok := s.Current.group(b.Name); ok {
			c.write(to, "", Current, fmt.Sprintf("%.2f", ratio(c.P99MS, b.P99MS)))
		}
	}
}

func (r *Result) group(name string) (Group, bool) {
	for _, g := range r.Groups {
		if g.Name == name {
			return g, true
		}
	}
	return Group{}, false
}

func (g *Group) write(to io.Writer, scenario, policy, p99Ratio string) {
	fmt.Fprintf(to, "%s\t%s\t%s\t%d\t%.2f%%\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f%%\t%s\n", scenario, g.Name, policy,
		g.Offered, 100*g.Success, g.Goodput, g.P50MS, g.P99MS, g.P999MS, 100*g.Coverage, p99Ratio)
}

func (r *Result) write(to io.Writer, scenario string) {
	all, _ := r.group("all")
	fmt.Fprintf(to, "%s\t%s\t%.3f\t%s\t%d\t%d of %d\t%s\t%.1f\t%d\n", scenario, r.Policy, r.Executions,
		shares(r.Extra), r.Shed, r.PeakConnections, r.Limit, counts(r.Refused), all.RefusalP99MS, len(r.Broken))
}

func writeDetails(to io.Writer, name string, r *Result) {
	for _, n := range r.Notes {
		fmt.Fprintf(to, "%s, %s: %s\n", name, r.Policy, n)
	}
	for _, b := range r.Broken {
		fmt.Fprintf(to, "%s, %s: BROKEN: %s\n", name, r.Policy, b)
	}
}

func (r *Report) writePairs(to io.Writer) {
	if len(r.Pairs) == 0 {
		return
	}
	broken := 0
	for _, p := range r.Pairs {
		if len(p.Result.Broken) > 0 {
			broken++
		}
		for _, b := range p.Result.Broken {
			fmt.Fprintf(to, "%s: BROKEN: %s\n", p.Name, b)
		}
	}
	fmt.Fprintf(to, "\npairs of faults: %d run, %d with a broken property\n", len(r.Pairs), broken)
}

func counts(m map[string]int) string {
	var out []string
	for k, n := range m {
		out = append(out, fmt.Sprintf("%s %d", k, n))
	}
	return joined(out)
}

func shares(m map[string]float64) string {
	var out []string
	for k, n := range m {
		out = append(out, fmt.Sprintf("%s %.2f%%", k, 100*n))
	}
	return joined(out)
}

func joined(list []string) string {
	if len(list) == 0 {
		return "-"
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}
