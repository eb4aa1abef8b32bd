package standalone

import (
	"encoding/json"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/edge"
	"sycamorekeel.example/sycamorekeel/internal/node"
	"sycamorekeel.example/sycamorekeel/internal/placement"
	"sycamorekeel.example/sycamorekeel/internal/wire"
)

// HTTP paths of the readiness probe and of the VM directory.
const (
	pathReady     = "/readyz"
	pathDirectory = "/v1/vms"
)

// NewAdapter returns the adapter that connects a node to the project's own store,
// wire format and HTTP endpoints.
func NewAdapter(set *node.Settings) node.Adapter {
	return node.Adapter{
		Store:     NewFileStore(set.StoreAddress),
		Decoder:   ItemDecoder{},
		Upstreams: wire.UpstreamProtocol{Names: wire.DefaultHeaderNames()},
		Callers: func(e *edge.Engine, leaving func() bool, begin func(net.Conn, *edge.Request)) node.CallerHandler {
			return wire.NewIngress(e, wire.DefaultHeaderNames(), leaving, begin)
		},
		Directory: directoryHandler,
		Ready: func(ready func() bool) fasthttp.RequestHandler {
			return wire.ReadyHandler(pathReady, ready)
		},
	}
}

// directoryResponse is the JSON body of a directory response.
type directoryResponse struct {
	Addresses []string `json:"addresses"`
	TTLMS     int64    `json:"ttl_ms"`
}

// directoryHandler lists the addresses of the VMs that choose selects for the caller.
// It responds with 503 when there are none.
func directoryHandler(choose func(placement.Caller) []string, ttl time.Duration) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != pathDirectory {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		args := ctx.QueryArgs()
		addresses := choose(placement.Caller{Region: string(args.Peek("region")), DataCentre: string(args.Peek("data_centre"))})
		body, err := json.Marshal(directoryResponse{Addresses: addresses, TTLMS: ttl.Milliseconds()})
		if err != nil || len(addresses) == 0 {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(body)
	}
}
