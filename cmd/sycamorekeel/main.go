// Command sycamorekeel is the command line for operators and callers.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"

	"sycamorekeel.example/sycamorekeel/internal/balance"
)

// commands is the whole command line, one field a command.
type commands struct {
	Output string `enum:"text,json" default:"text" help:"Form of the output: text or json."`

	Check     checkCommand     `cmd:"" help:"Check contract files and report every fault with its line. Exit status 1 when there is one."`
	Endpoints endpointsCommand `cmd:"" help:"Ask a VM which addresses a customer should use."`
	Query     queryCommand     `cmd:"" help:"Send one request and print the answer with its coverage."`
	Status    statusCommand    `cmd:"" help:"Show what a VM knows: configuration, members, owned upstreams, why it is not ready."`
	Explain   explainCommand   `cmd:"" help:"Show what a VM did for one request: what it sent where, and why."`
	Standin   standinCommand   `cmd:"" help:"Serve stand-ins for the platform and the upstreams of contract files, to try daemons by hand."`
	Demo      demoCommand      `cmd:"" help:"Run both users' deployments on loopback and print latency, coverage and extra load."`
	Bench     benchCommand     `cmd:"" hidden:"" help:"Measure the policy against the plain baseline under load and faults."`
	Capacity  capacityCommand  `cmd:"" hidden:"" help:"Measure the slopes of the capacity page on this machine."`

	Experiment experimentCommand `cmd:"" help:"Models in virtual time."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c,
		kong.Name("sycamorekeel"),
		kong.Description("Query tier between callers and many shards. Start with 'sycamorekeel demo', then 'sycamorekeel check' on your own contracts."),
		kong.Vars{
			"balance_patterns": strings.Join(balance.PatternNames(), ", "),
			"balance_ways":     strings.Join(balance.WayNames(), ", "),
		},
		kong.UsageOnError(),
	)
	if err := ctx.Run(&output{json: c.Output == "json", to: os.Stdout}); err != nil {
		fmt.Fprintln(os.Stderr, "sycamorekeel: "+trace.UserMessage(err))
		os.Exit(1)
	}
}
