package httpserver

import (
	"errors"
	"net"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/bodylimit"
)

// Responses to connections that find no place. No request of theirs has been read.
const (
	UnavailableResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	TooManyResponse     = "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// WriteReadError answers a request that could not be read by its status alone.
func WriteReadError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	status := fasthttp.StatusBadRequest
	switch {
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, bodylimit.ErrTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, bodylimit.ErrNoMemory), errors.Is(err, ErrDisplaced):
		status = fasthttp.StatusServiceUnavailable
	case errors.As(err, &timeout) && timeout.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	if status == fasthttp.StatusServiceUnavailable {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	}
}
