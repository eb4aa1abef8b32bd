package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/explain"
	"sycamorekeel.example/sycamorekeel/internal/operatorapi"
	"sycamorekeel.example/sycamorekeel/internal/query"
)

type explainCommand struct {
	Address string   `help:"Operator address of a VM, as IP:port; not needed with --log."`
	Token   string   `env:"SYCAMOREKEEL_OPERATOR_TOKEN" help:"Bearer token of the operators."`
	Log     []string `type:"existingfile" help:"Log file of a VM; may be given more than once. The request is explained from the logs, and no VM is asked."`
	Losses  bool     `help:"Instead of one request, count those of the logs that did not end as promised, by second, outcome and VM, with where their time went."`
	Bytes   bool     `help:"Instead of one request, add up what the VMs of the logs exchanged, by purpose and distance."`
	Request string   `arg:"" optional:"" help:"Request id, as an answer or a refusal gives it."`
}

// Run prints what the VM did for the request, one attempt a line.
func (c *explainCommand) Run(out *output) error {
	switch {
	case c.Losses && c.Bytes:
		return trace.BadParameter("only one of --losses and --bytes can be given")
	case (c.Losses || c.Bytes) && (c.Request != "" || len(c.Log) == 0):
		return trace.BadParameter("--losses and --bytes take --log and no request")
	case c.Losses:
		return printFromLogs(c, out, explain.Losses, printLosses)
	case c.Bytes:
		return printFromLogs(c, out, explain.Flows, printFlows)
	case c.Request == "":
		return trace.BadParameter("a request, --losses or --bytes must be given")
	case len(c.Log) > 0:
		timeline := func(logs ...io.Reader) ([]explain.Line, error) { return explain.Timeline(c.Request, logs...) }
		return printFromLogs(c, out, timeline, printTimeline)
	case c.Address == "":
		return trace.BadParameter("one of --address and --log must be given")
	}
	var rec explain.Record
	err := call{method: fasthttp.MethodGet, url: "http://" + c.Address + operatorapi.ExplainPath + c.Request, token: c.Token}.do(&rec)
	if err != nil {
		return err
	}
	return out.print(rec, func() { printRecord(out, &rec) })
}

// printFromLogs prints what the logs of many VMs tell, as it is read from them.
func printFromLogs[T any](c *explainCommand, out *output, read func(...io.Reader) (T, error), text func(*output, T)) error {
	logs, closeAll, err := openAll(c.Log)
	if err != nil {
		return err
	}
	defer closeAll()
	told, err := read(logs...)
	if err != nil {
		return err
	}
	return out.print(told, func() { text(out, told) })
}

func printLosses(out *output, losses []explain.Loss) {
	w := tabwriter.NewWriter(out.to, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "second\toutcome\tvm\trequests\tage\tqueued\tplan\tresend\tconnect\tupstream\tfinish\theld\tbudget\tmissing\tsends\tin flight\texample")
	for _, l := range losses {
		s := l.Stages
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.0f\t%.0f\t%s\n",
			l.Second.Format("15:04:05"), l.Outcome, l.VM, l.Requests, s.Age, s.Queued, s.Plan, s.Resend, s.Connect, s.Upstream, s.Finish,
			l.Held, l.BudgetRefusals, l.Missing, l.Sends, l.InFlight, l.Example)
	}
}

func printFlows(out *output, flows []explain.Flow) {
	w := tabwriter.NewWriter(out.to, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "callers\tpurpose\tdistance\tbytes or connections")
	for _, f := range flows {
		fmt.Fprintf(w, "%t\t%s\t%s\t%d\n", f.Carrying, f.Purpose, f.Distance, f.Count)
	}
}

// openAll opens files to read; the function it gives closes them.
func openAll(paths []string) (files []io.Reader, closeAll func(), err error) {
	var opened []*os.File
	closeAll = func() {
		for _, f := range opened {
			// They were only read.
			_ = f.Close()
		}
	}
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			closeAll()
			return nil, nil, trace.ConvertSystemError(err)
		}
		opened = append(opened, f)
		files = append(files, f)
	}
	return files, closeAll, nil
}

// printTimeline prints the lines of a request from the logs of many VMs as one time line,
// with what the VMs that served it believed.
func printTimeline(out *output, lines []explain.Line) {
	for _, l := range lines {
		out.printf("%s  %-24s %s", l.Time.Format("15:04:05.000"), l.VM, l.Message)
		for _, f := range l.Fields {
			out.printf(" %s=%s", f.Name, f.Value)
		}
		out.printf("\n")
	}
}

func printRecord(out *output, rec *explain.Record) {
	out.printf("request %s: %s of %s, %s in %.1f ms, coverage %.1f%%\n",
		rec.RequestID, rec.Kind, rec.Customer, rec.Outcome, rec.ElapsedMS, 100*rec.Coverage)
	if rec.Detail != "" {
		out.printf("%s (%s)\n", rec.Detail, rec.Ran)
	}
	for _, r := range rec.Restarts {
		out.printf("  %8.1f ms  restart at snapshot %s: no replica of shard %d had %s any more, %d answers discarded\n",
			ms(r.At), explain.Snapshot(r.To), r.Shard, explain.Snapshot(r.From), r.Discarded)
	}
	for _, s := range rec.Shards {
		out.printf("shard %d %s\n", s.ID, s.Missing)
		for _, a := range s.Attempts {
			out.printf("  %8.1f ms  %-8s %-24s %s after %.1f ms%s\n",
				ms(a.Sent), a.Cause, a.Upstream, a.Result, ms(a.Took), reason(&a))
		}
	}
}

// reason says why an attempt was sent, unless it is a first one.
func reason(a *query.AttemptRecord) string {
	var out string
	if a.Why != "" {
		out = ", sent because: " + a.Why
	}
	if a.Standby {
		out += ", through the standby VM"
	}
	return out
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
