package wire

import "github.com/valyala/fasthttp"

// ReadyHandler serves a readiness check at path: 200 if this VM accepts callers, 503 if
// not. Other paths get 404.
func ReadyHandler(path string, ready func() bool) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch {
		case string(ctx.Path()) != path:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		case !ready():
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	}
}
