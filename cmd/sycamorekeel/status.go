package main

import (
	"time"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/operatorapi"
)

// operatorFlags are shared by the commands that speak to the operator address.
type operatorFlags struct {
	Address string `required:"" help:"Operator address of a VM, as IP:port."`
	Token   string `env:"SYCAMOREKEEL_OPERATOR_TOKEN" help:"Bearer token of the operators."`
}

type statusCommand struct {
	operatorFlags
}

// Run prints the VM's status.
func (c *statusCommand) Run(out *output) error {
	var st operatorapi.Status
	err := call{method: fasthttp.MethodGet, url: "http://" + c.Address + operatorapi.StatusPath, token: c.Token}.do(&st)
	if err != nil {
		return err
	}
	return out.print(st, func() { printStatus(out, &st) })
}

func printStatus(out *output, st *operatorapi.Status) {
	state := "ready"
	if !st.Ready {
		state = "not ready: " + st.NotReady
	}
	out.printf("%s (%s, %s): %s\n", st.VM, st.DataCentre, st.Region, state)
	out.printf("configuration revision %d\n", st.Revision)
	printPlatform(out, &st.Platform)
	for _, r := range st.Rejected {
		out.printf("rejected: %s revision %d\n%s\n", r.Name, r.Revision, r.Findings)
	}
	for _, text := range st.Conflicts {
		out.printf("conflict: %s\n", text)
	}
	for _, m := range st.Members {
		out.printf("member %s (%s): %s\n", m.VM, m.DataCentre, m.State)
	}
	out.printf("owns %d upstreams\n", len(st.Owned))
	for _, id := range st.Owned {
		out.printf("  %s\n", id)
	}
}

func printPlatform(out *output, p *operatorapi.Platform) {
	way := "through peers"
	if p.Reader {
		way = "by watching it"
	}
	confirmed := time.Duration(p.ConfirmedMS) * time.Millisecond
	out.printf("the platform confirmed it %s ago, %s\n", confirmed.Round(time.Second), way)
	if p.Failures > 0 {
		out.printf("the platform is %s: %d reads failed in a row\n", p.Reason, p.Failures)
	}
}
