package main

import (
	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/callerapi"
)

// callerFlags are shared by the commands that speak to the caller address.
type callerFlags struct {
	Address string `required:"" help:"Caller address of any VM, as IP:port."`
	Token   string `required:"" env:"SYCAMOREKEEL_TOKEN" help:"Bearer token of the customer."`
}

type endpointsCommand struct {
	callerFlags
}

// Run asks for the endpoints and prints one a line, best first.
func (c *endpointsCommand) Run(out *output) error {
	var e callerapi.Endpoints
	err := call{method: fasthttp.MethodGet, url: "http://" + c.Address + callerapi.EndpointsPath, token: c.Token}.do(&e)
	if err != nil {
		return err
	}
	return out.print(e, func() {
		for _, v := range e.Endpoints {
			out.printf("%s  %s\n", v.Address, v.DataCentre)
		}
		out.printf("keep for %d ms\n", e.TTLMS)
		if l := e.OperationLease; l != nil {
			out.printf("operation lease %s, run by %s, for %d ms\n", l.Prefix, l.Address, l.ExpiresInMS)
		}
	})
}
