package httpserver

import (
	"bytes"
	"math"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/bodylimit"
)

// Bodies reads the bodies of requests. A body takes memory as its bytes arrive, whatever length is
// declared, and the bodies of all requests together are limited. Bodies are read before the request
// is handled.
type Bodies struct {
	Memory *bodylimit.Memory
	// Limit returns how many bytes one body may have by the configuration that is in force.
	Limit func() int
}

const (
	// tooLargeMark marks a request whose declared length exceeds the limit. No client can send a
	// field of this name, as it is not a token.
	tooLargeMark = "(body too large)"
	// bodyKey is the key of the user value of requests whose body Bodies has read.
	bodyKey = "body"
)

// Serve makes a server read bodies by these limits and then call handle. onError answers a request
// whose body was not read; its connection is closed afterwards.
func (b *Bodies) Serve(s *fasthttp.Server, handle fasthttp.RequestHandler, onError func(*fasthttp.RequestCtx, error)) {
	s.StreamRequestBody = true
	// The limits apply instead.
	s.MaxRequestBodySize = math.MaxInt32
	s.DisablePreParseMultipartForm = true
	s.HeaderReceived = b.checkLength
	s.ErrorHandler = func(ctx *fasthttp.RequestCtx, err error) {
		onError(ctx, err)
		readOn(ctx)
	}
	s.Handler = func(ctx *fasthttp.RequestCtx) {
		lease, err := b.read(ctx)
		if err != nil {
			onError(ctx, err)
			ctx.SetConnectionClose()
			readOn(ctx)
			return
		}
		defer lease.Release()
		handle(ctx)
	}
}

// MaxBody returns the size in bytes of the largest body that fits into the memory for the bodies of
// all clients.
func MaxBody(memory int) int {
	m := bodylimit.NewMemory(memory, nil)
	m.ForClients()
	return maxBody(m)
}

// maxBody returns the size of the largest body that fits with its receive buffer.
func maxBody(m *bodylimit.Memory) int { return m.MaxBody() - largeReceiveBuffer }

// limit returns the most bytes that one body may have now.
func (b *Bodies) limit() int { return min(b.Limit(), maxBody(b.Memory)) }

// checkLength is called by the server when it has read the head of a request. It takes the body off
// a request that declares too long a one: the server would otherwise wait for its first bytes.
func (b *Bodies) checkLength(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if h.ContentLength() > b.limit() {
		h.SetContentLength(0)
		h.Del(fasthttp.HeaderExpect)
		h.SetConnectionClose()
		h.Set(tooLargeMark, "1")
	}
	return fasthttp.RequestConfig{}
}

// read reads the body of a request into the request.
func (b *Bodies) read(ctx *fasthttp.RequestCtx) (*bodylimit.Lease, error) {
	h := &ctx.Request.Header
	if len(h.Peek(tooLargeMark)) > 0 {
		return nil, bodylimit.ErrTooLarge
	}
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil, nil
	}
	source := bodylimit.Source{Stream: stream, Declared: h.ContentLength(), Limit: b.limit(), Abort: func() {}}
	if c := limitedBelow(ctx.Conn()); c != nil {
		source.Abort = func() { c.fail(bodylimit.ErrNoMemory) }
		enlarged := false
		source.Enlarge = func() int {
			enlarged = true
			c.setReceiveBuffer(largeReceiveBuffer)
			return largeReceiveBuffer
		}
		defer func() {
			if enlarged {
				c.setReceiveBuffer(receiveBuffer)
			}
		}()
	}
	body, lease, err := b.Memory.Read(source)
	if err != nil {
		return nil, err
	}
	h.SetContentLength(len(body))
	ctx.Request.SetBodyRaw(body)
	ctx.SetUserValue(bodyKey, true)
	return lease, nil
}

// Body returns the body of a request in memory that is not reused once the request is over.
func Body(ctx *fasthttp.RequestCtx) []byte {
	if ctx.UserValue(bodyKey) != nil {
		return ctx.Request.Body()
	}
	return bytes.Clone(ctx.Request.Body())
}

// readOn makes the close of a connection wait for the client, which may still be sending.
func readOn(ctx *fasthttp.RequestCtx) {
	if c := limitedBelow(ctx.Conn()); c != nil {
		c.linger.Store(true)
	}
}
