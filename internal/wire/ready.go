package wire

import "github.com/valyala/fasthttp"

// ReadyHandler answers at a path whether this VM takes callers: 200 or 503.
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
