package main

import (
	"io"
	"os"
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
	Request string   `arg:"" help:"Request id, as an answer or a refusal gives it."`
}

// Run prints what the VM did for the request, one attempt a line.
func (c *explainCommand) Run(out *output) error {
	if len(c.Log) > 0 {
		return c.fromLogs(out)
	}
	if c.Address == "" {
		return trace.BadParameter("one of --address and --log must be given")
	}
	var rec explain.Record
	err := call{method: fasthttp.MethodGet, url: "http://" + c.Address + operatorapi.ExplainPath + c.Request, token: c.Token}.do(&rec)
	if err != nil {
		return err
	}
	return out.print(rec, func() { printRecord(out, &rec) })
}

// fromLogs prints the lines of the request from the logs of many VMs as one time
// line, with what the VMs that served it believed.
func (c *explainCommand) fromLogs(out *output) error {
	var logs []io.Reader
	for _, path := range c.Log {
		f, err := os.Open(path)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer f.Close()
		logs = append(logs, f)
	}
	lines, err := explain.Timeline(c.Request, logs...)
	if err != nil {
		return err
	}
	return out.print(lines, func() { printTimeline(out, lines) })
}

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
