package main

import (
	"encoding/json"
	"strconv"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/callerapi"
	"sycamorekeel.example/sycamorekeel/internal/frontend"
)

type queryCommand struct {
	callerFlags
	Kind      string `arg:"" help:"Request kind of the contract."`
	Text      string `arg:"" optional:"" help:"What to search for."`
	Key       string `help:"Document key, for kinds that ask one shard."`
	Limit     int    `help:"Most hits wanted."`
	Operation string `help:"Operation key of a non-idempotent request: the lease's prefix, a full stop and a counter. Send the same one to send a request again."`
	Deadline  int    `help:"Deadline in milliseconds, when shorter than the contract's."`
}

// queryBody is the JSON that is sent.
type queryBody struct {
	Query string `json:"query,omitempty"`
	Key   string `json:"key,omitempty"`
	Limit int    `json:"limit,omitempty"`
}

// Run sends the request and prints the hits, then what they cover.
func (c *queryCommand) Run(out *output) error {
	body, err := json.Marshal(queryBody{Query: c.Text, Key: c.Key, Limit: c.Limit})
	if err != nil {
		return trace.Wrap(err)
	}
	req := call{
		method:  fasthttp.MethodPost,
		url:     "http://" + c.Address + callerapi.QueryPath + c.Kind,
		token:   c.Token,
		body:    body,
		headers: map[string]string{},
	}
	if c.Operation != "" {
		req.headers[callerapi.HeaderOperation] = c.Operation
	}
	if c.Deadline > 0 {
		req.headers[callerapi.HeaderDeadline] = strconv.Itoa(c.Deadline)
	}
	var a frontend.Answer
	if err := req.do(&a); err != nil {
		return err
	}
	return out.print(a, func() { printAnswer(out, &a) })
}

func printAnswer(out *output, a *frontend.Answer) {
	for _, h := range a.Hits {
		out.printf("%-24s %8.4f  %s\n", h.ID, h.Score, h.Fields)
	}
	out.printf("request %s: %d hits in %.1f ms, snapshot %d/%d, coverage %.1f%% (%d of %d shards)\n",
		a.RequestID, len(a.Hits), a.ElapsedMS, a.Snapshot.Generation, a.Snapshot.Version,
		100*a.Coverage.Fraction, a.Coverage.ShardsAnswered, a.Coverage.ShardsTotal)
	for _, m := range a.Coverage.Missing {
		out.printf("missing: shard %d, %s\n", m.Shard, m.Reason)
	}
}
