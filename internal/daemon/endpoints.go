package daemon

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/callerapi"
	"sycamorekeel.example/sycamorekeel/internal/contract"
)

// endpointsTTL is how long callers keep an answer of endpoints.
const endpointsTTL = 5 * time.Second

// Endpoints is the addresses a customer should use, this data centre's first.
func (d *Daemon) Endpoints(_ *contract.Customer) callerapi.Endpoints {
	var near, far []callerapi.Endpoint
	for _, m := range d.view.Load().Serving() {
		e := callerapi.Endpoint{Address: m.CallerAddress, DataCentre: m.DataCentre}
		if m.DataCentre == d.settings.DataCentre {
			near = append(near, e)
			continue
		}
		far = append(far, e)
	}
	return callerapi.Endpoints{Endpoints: append(near, far...), TTLMS: endpointsTTL.Milliseconds()}
}
