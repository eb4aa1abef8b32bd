package main

import (
	"time"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/explain"
	"sycamorekeel.example/sycamorekeel/internal/operatorapi"
	"sycamorekeel.example/sycamorekeel/internal/query"
)

type explainCommand struct {
	operatorFlags
	Request string `arg:"" help:"Request id, as an answer or a refusal gives it."`
}

// Run prints what the VM did for the request, one attempt a line.
func (c *explainCommand) Run(out *output) error {
	var rec explain.Record
	err := call{method: fasthttp.MethodGet, url: "http://" + c.Address + operatorapi.ExplainPath + c.Request, token: c.Token}.do(&rec)
	if err != nil {
		return err
	}
	return out.print(rec, func() { printRecord(out, &rec) })
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
