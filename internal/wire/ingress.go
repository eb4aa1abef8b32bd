package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/direct"
	"sycamorekeel.example/sycamorekeel/internal/edge"
	"sycamorekeel.example/sycamorekeel/internal/routing"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// Ingress turns callers' requests into the engine's and its answers back.
type Ingress struct {
	engine *edge.Engine
	names  Names
	// leaving tells whether this VM is being stopped.
	leaving func() bool
}

// NewIngress serves callers by an engine.
func NewIngress(engine *edge.Engine, names Names, leaving func() bool) *Ingress {
	return &Ingress{engine: engine, names: names, leaving: leaving}
}

// Handle serves one request.
func (in *Ingress) Handle(ctx *fasthttp.RequestCtx) {
	r, fault := in.request(ctx)
	if fault != "" {
		a := in.engine.Refuse(r, fault)
		in.writeRefusal(ctx, r, &a)
	} else {
		a := in.engine.Serve(r)
		in.write(ctx, r, &a)
	}
	if in.leaving() {
		ctx.SetConnectionClose()
	}
}

// Fault answers a request that could not be read. The library closes the
// connection after it.
func (in *Ingress) Fault(ctx *fasthttp.RequestCtx, err error) {
	r := &edge.Request{Received: time.Now(), Message: &direct.Message{}}
	a := in.engine.Refuse(r, faultOf(err))
	in.writeRefusal(ctx, r, &a)
}

// faultOf is why a request could not be read.
func faultOf(err error) edge.Reason {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		return edge.HeadTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return edge.TooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return edge.TooSlow
	default:
		return edge.Malformed
	}
}

// request decodes a request. What it keeps is copied: sends may outlive the
// handler, and the library uses its buffers again.
func (in *Ingress) request(ctx *fasthttp.RequestCtx) (*edge.Request, edge.Reason) {
	h := &fasthttp.RequestHeader{}
	ctx.Request.Header.CopyTo(h)
	r := &edge.Request{
		Host:     string(h.Host()),
		Path:     pathOf(string(h.RequestURI())),
		Received: time.Now(),
		Conn:     ctx.Conn(),
		Message: &direct.Message{
			ID:     string(h.Peek(in.names.RequestID)),
			Header: h,
			Body:   bytes.Clone(ctx.Request.Body()),
		},
	}
	removeHopByHop(h)
	// A body without a type goes on without one.
	h.SetNoDefaultContentType(true)
	if text := h.Peek(in.names.Deadline); len(text) > 0 {
		ms, err := strconv.ParseInt(string(text), 10, 64)
		if err != nil || ms <= 0 {
			return r, edge.Malformed
		}
		r.Deadline = time.Duration(ms) * time.Millisecond
	}
	if r.Message.ID == "" {
		return r, edge.Malformed
	}
	if v := in.engine.View(); v != nil && v.Table != nil {
		return r, beyond(v.Table.Limits(), len(ctx.Request.Header.RawHeaders()), len(r.Message.Body))
	}
	return r, ""
}

// beyond tells which limit a request exceeds, if any.
func beyond(l routing.Limits, head, body int) edge.Reason {
	switch {
	case l.HeaderBytes > 0 && head > l.HeaderBytes:
		return edge.HeadTooLarge
	case l.BodyBytes > 0 && body > l.BodyBytes:
		return edge.TooLarge
	default:
		return ""
	}
}

// pathOf is the path of a request target, which may be in absolute form.
func pathOf(target string) string {
	if _, rest, ok := strings.Cut(target, "://"); ok && !strings.HasPrefix(target, "/") {
		i := strings.IndexByte(rest, '/')
		if i < 0 {
			return "/"
		}
		target = rest[i:]
	}
	path, _, _ := strings.Cut(target, "?")
	return path
}

// hopByHop is the headers that concern only one connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopByHop removes them and those that Connection names. Content-Length
// is written anew from the body.
func removeHopByHop(h *fasthttp.RequestHeader) {
	for name := range strings.SplitSeq(string(h.Peek("Connection")), ",") {
		if name = strings.TrimSpace(name); name != "" && !strings.EqualFold(name, "close") {
			h.Del(name)
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	h.ResetConnectionClose()
}

func (in *Ingress) write(ctx *fasthttp.RequestCtx, r *edge.Request, a *edge.Answer) {
	switch {
	case a.Response != nil:
		writeOpaque(ctx, a.Response)
	case a.Reason == "":
		in.writeMerged(ctx, r, a)
	default:
		in.writeRefusal(ctx, r, a)
	}
}

// writeOpaque passes an upstream's answer on as it is.
func writeOpaque(ctx *fasthttp.RequestCtx, from *fasthttp.Response) {
	to := &ctx.Response
	to.SetStatusCode(from.StatusCode())
	for name, value := range from.Header.All() {
		if !ownHeader(string(name)) {
			to.Header.AddBytesKV(name, value)
		}
	}
	to.Header.SetContentTypeBytes(from.Header.ContentType())
	to.SetBodyRaw(from.Body())
}

// ownHeader tells whether a header of an upstream's answer concerns only that
// connection, or is written by the library.
func ownHeader(name string) bool {
	if strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Content-Type") {
		return true
	}
	for _, h := range hopByHop {
		if strings.EqualFold(name, h) {
			return true
		}
	}
	return false
}

func (in *Ingress) writeMerged(ctx *fasthttp.RequestCtx, r *edge.Request, a *edge.Answer) {
	h := &ctx.Response.Header
	h.Set(in.names.RequestID, r.Message.ID)
	h.Set(in.names.Parts, strings.Join(a.Proofs, ", "))
	h.Set(in.names.Missing, strconv.Itoa(a.Missing))
	h.SetContentType("application/octet-stream")
	ctx.Response.SetBodyRaw(a.Body)
}

// refusalDocument is the body of a refusal.
type refusalDocument struct {
	Request string `json:"request"`
	// Error is the reason, the same word as in logs and metrics.
	Error  string `json:"error"`
	NotRun bool   `json:"not_run"`
}

func (in *Ingress) writeRefusal(ctx *fasthttp.RequestCtx, r *edge.Request, a *edge.Answer) {
	ctx.Response.SetStatusCode(statusOf(a))
	if a.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
	ctx.Response.Header.Set(in.names.RequestID, r.Message.ID)
	body, err := json.Marshal(refusalDocument{Request: r.Message.ID, Error: string(a.Reason), NotRun: a.NotRun})
	if err != nil {
		// Strings and a bool always encode.
		ctx.SetConnectionClose()
		return
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.Response.SetBodyRaw(body)
}

// statusOf is the status of a refusal. 503 is said only of requests that have
// not run and never will.
func statusOf(a *edge.Answer) int {
	switch a.Reason {
	case edge.Malformed:
		return fasthttp.StatusBadRequest
	case edge.HeadTooLarge:
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case edge.TooSlow:
		return fasthttp.StatusRequestTimeout
	case edge.TooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case edge.NoRoute:
		return fasthttp.StatusNotFound
	}
	switch {
	case a.NotRun:
		return fasthttp.StatusServiceUnavailable
	case a.Reason == edge.Reason(scatter.TimedOut):
		return fasthttp.StatusGatewayTimeout
	default:
		return fasthttp.StatusBadGateway
	}
}
