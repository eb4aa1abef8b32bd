package wire

import (
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/bodylimit"
	"sycamorekeel.example/sycamorekeel/internal/connpool"
	"sycamorekeel.example/sycamorekeel/internal/edge"
	"sycamorekeel.example/sycamorekeel/internal/httpserver"
	"sycamorekeel.example/sycamorekeel/internal/routing"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// Ingress is the HTTP handler for callers: it decodes their requests, passes them to the
// engine and encodes its answers.
type Ingress struct {
	engine *edge.Engine
	names  HeaderNames
	// leaving reports whether this VM is shutting down.
	leaving func() bool
	// begin is called with each request whose answer is begun.
	begin func(net.Conn, *edge.Request)
}

// NewIngress returns a handler that serves callers with engine. While leaving returns true,
// each response closes its connection. begin is called with each request before it is served; nil
// for no call.
func NewIngress(engine *edge.Engine, names HeaderNames, leaving func() bool, begin func(net.Conn, *edge.Request)) *Ingress {
	return &Ingress{engine: engine, names: names, leaving: leaving, begin: begin}
}

// memoryKey is the key of the user value that holds the memory of the response.
const memoryKey = "memory"

// Handle serves one request.
func (in *Ingress) Handle(ctx *fasthttp.RequestCtx) {
	r, reason := in.decodeRequest(ctx)
	httpserver.SetRequest(ctx.Conn(), r.Message.ID)
	if in.begin != nil {
		in.begin(ctx.Conn(), r)
	}
	if reason != "" {
		a := in.engine.Refuse(r, reason)
		in.writeRefusal(ctx, r, &a)
	} else {
		a := in.engine.Serve(r)
		in.write(ctx, r, &a)
		if a.Memory != nil {
			// The server closes user values once the response has been written.
			ctx.SetUserValue(memoryKey, a.Memory)
		}
	}
	if in.leaving() {
		ctx.SetConnectionClose()
	}
}

// HandleError responds to a request that could not be read; err is the read error. fasthttp
// then closes the connection.
func (in *Ingress) HandleError(ctx *fasthttp.RequestCtx, err error) {
	h := &ctx.Request.Header
	r := &edge.Request{
		Host:     string(h.Host()),
		Path:     requestPath(string(h.RequestURI())),
		Received: time.Now(),
		Message:  &connpool.Message{ID: string(h.Peek(in.names.RequestID))},
	}
	a := in.engine.Refuse(r, readErrorReason(err))
	in.writeRefusal(ctx, r, &a)
}

// readErrorReason returns the refusal reason for an error while reading a request.
func readErrorReason(err error) edge.Reason {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		return edge.HeaderTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.Is(err, bodylimit.ErrTooLarge):
		return edge.BodyTooLarge
	case errors.Is(err, bodylimit.ErrNoMemory):
		return edge.NoBodyMemory
	case errors.Is(err, httpserver.ErrDisplaced):
		return edge.Displaced
	case errors.As(err, &timeout) && timeout.Timeout():
		return edge.RequestTooSlow
	default:
		return edge.Malformed
	}
}

// decodeRequest decodes and validates a request. The reason is empty if it is valid. The
// returned request holds copies: sends may outlive the handler, and fasthttp reuses its
// buffers.
func (in *Ingress) decodeRequest(ctx *fasthttp.RequestCtx) (*edge.Request, edge.Reason) {
	h := &fasthttp.RequestHeader{}
	ctx.Request.Header.CopyTo(h)
	r := &edge.Request{
		Host:     string(h.Host()),
		Path:     requestPath(string(h.RequestURI())),
		Received: time.Now(),
		Conn:     ctx.Conn(),
		Message: &connpool.Message{
			ID:     string(h.Peek(in.names.RequestID)),
			Header: h,
			Body:   httpserver.Body(ctx),
		},
	}
	removeHopByHop(h)
	// Forward a body without a content type without adding one.
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
		return r, exceededLimit(v.Table.Limits(), len(ctx.Request.Header.RawHeaders()), len(r.Message.Body))
	}
	return r, ""
}

// exceededLimit returns the reason for the limit that a request exceeds, or "". head and
// body are sizes in bytes.
func exceededLimit(l routing.Limits, head, body int) edge.Reason {
	switch {
	case l.HeaderBytes > 0 && head > l.HeaderBytes:
		return edge.HeaderTooLarge
	case l.BodyBytes > 0 && body > l.BodyBytes:
		return edge.BodyTooLarge
	default:
		return ""
	}
}

// requestPath returns the path of a request target without the query string. The target
// may be in absolute form.
func requestPath(target string) string {
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

// hopByHop lists the headers that apply to a single connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopByHop removes the hop-by-hop headers and the headers that Connection names.
// Content-Length is set from the body when the request is written.
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

// write encodes an answer of the engine.
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

// writeOpaque forwards an upstream's response unchanged except for connection headers.
func writeOpaque(ctx *fasthttp.RequestCtx, from *fasthttp.Response) {
	to := &ctx.Response
	to.SetStatusCode(from.StatusCode())
	for name, value := range from.Header.All() {
		if !skipHeader(string(name)) {
			to.Header.AddBytesKV(name, value)
		}
	}
	to.Header.SetContentTypeBytes(from.Header.ContentType())
	to.SetBodyRaw(from.Body())
}

// skipHeader reports whether a header of an upstream's response is not copied to the
// caller's response: hop-by-hop headers, Content-Length, which fasthttp writes, and Content-Type,
// which writeOpaque sets.
func skipHeader(name string) bool {
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

// writeMerged encodes a merged answer with the proofs of its parts.
func (in *Ingress) writeMerged(ctx *fasthttp.RequestCtx, r *edge.Request, a *edge.Answer) {
	h := &ctx.Response.Header
	h.Set(in.names.RequestID, r.Message.ID)
	h.Set(in.names.Parts, strings.Join(a.Proofs, ", "))
	h.Set(in.names.MissingParts, strconv.Itoa(a.Missing))
	h.SetContentType("application/octet-stream")
	ctx.Response.SetBodyRaw(a.Body)
}

// refusalDocument is the JSON body of a refusal.
type refusalDocument struct {
	Request string `json:"request"`
	// Error is the reason, with the same text as in logs and metrics.
	Error  string `json:"error"`
	NotRun bool   `json:"not_run"`
}

// writeRefusal encodes a refusal: a status, a reason and whether the request was not run.
func (in *Ingress) writeRefusal(ctx *fasthttp.RequestCtx, r *edge.Request, a *edge.Answer) {
	ctx.Response.SetStatusCode(refusalStatus(a))
	if a.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
	ctx.Response.Header.Set(in.names.RequestID, r.Message.ID)
	body, err := json.Marshal(refusalDocument{Request: r.Message.ID, Error: string(a.Reason), NotRun: a.NotRun})
	if err != nil {
		// Unreachable: strings and a bool always encode.
		ctx.SetConnectionClose()
		return
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.Response.SetBodyRaw(body)
}

// refusalStatus returns the HTTP status of a refusal. 503 is used only for requests that
// have not run and never will.
func refusalStatus(a *edge.Answer) int {
	switch a.Reason {
	case edge.Malformed:
		return fasthttp.StatusBadRequest
	case edge.HeaderTooLarge:
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case edge.RequestTooSlow:
		return fasthttp.StatusRequestTimeout
	case edge.BodyTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case edge.NoRoute:
		return fasthttp.StatusNotFound
	}
	switch {
	case a.NotRun:
		return fasthttp.StatusServiceUnavailable
	case a.Reason == edge.Reason(scatter.TimedOut), a.Reason == edge.Stopping:
		return fasthttp.StatusGatewayTimeout
	default:
		return fasthttp.StatusBadGateway
	}
}
