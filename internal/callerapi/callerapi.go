// Package callerapi is the HTTP interface for callers: authentication, limits
// on what is read, JSON in and out. It decides nothing else.
package callerapi

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/frontend"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
)

// Paths and headers of the interface; docs/INTERFACES.md describes them.
const (
	EndpointsPath  = "/v1/endpoints"
	QueryPath      = "/v1/query/"
	HeaderDeadline = "X-Deadline-Ms"
)

const (
	readTimeout = 10 * time.Second
	idleTimeout = 60 * time.Second
)

// Endpoints is the answer of EndpointsPath.
type Endpoints struct {
	Endpoints []Endpoint `json:"endpoints"`
	// TTLMS is how long the answer may be kept.
	TTLMS int64 `json:"ttl_ms"`
}

// Endpoint is one address to send queries to, best first.
type Endpoint struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// ErrorBody is the JSON of a refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says why, whether the request ran, and when to come back.
type ErrorDetail struct {
	Reason       refusal.Reason     `json:"reason"`
	Ran          refusal.Ran        `json:"ran"`
	Message      string             `json:"message"`
	RetryAfterMS int64              `json:"retry_after_ms,omitempty"`
	RequestID    string             `json:"request_id,omitempty"`
	Coverage     *frontend.Coverage `json:"coverage,omitempty"`
}

// Backend is what the interface serves.
type Backend interface {
	Snapshot() *contract.Snapshot
	// NotReady is empty when requests can be served.
	NotReady() string
	Endpoints(c *contract.Customer) Endpoints
}

// Options is what a server needs.
type Options struct {
	Log      *zap.Logger
	Limits   *pb.Limits
	Backend  Backend
	Frontend *frontend.Frontend
}

// Server is the caller interface of one daemon.
type Server struct {
	opts Options
	http *fasthttp.Server
}

// New makes a server.
func New(opts Options) *Server {
	s := &Server{opts: opts}
	s.http = &fasthttp.Server{
		Name:                  "sycamorekeel",
		Handler:               s.handle,
		ErrorHandler:          s.unreadable,
		MaxRequestBodySize:    int(opts.Limits.MaxBodyBytes),
		ReadBufferSize:        int(opts.Limits.MaxHeaderBytes),
		Concurrency:           int(opts.Limits.MaxConnections),
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discard{},
	}
	return s
}

// discard drops the library's own lines: they are not in this project's form,
// and every refusal is counted.
type discard struct{}

func (discard) Printf(string, ...any) {}

// Serve answers callers until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	return trace.Wrap(s.http.Serve(ln))
}

// Shutdown stops accepting and waits for open requests or ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	return trace.Wrap(s.http.ShutdownWithContext(ctx))
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == EndpointsPath && ctx.IsGet():
		s.endpoints(ctx)
	case strings.HasPrefix(path, QueryPath) && ctx.IsPost():
		s.query(ctx, strings.TrimPrefix(path, QueryPath))
	case path == EndpointsPath || strings.HasPrefix(path, QueryPath):
		s.refuse(ctx, fasthttp.StatusMethodNotAllowed, refusal.New(refusal.BadRequest, "the method is not allowed here"))
	default:
		s.refuse(ctx, fasthttp.StatusNotFound, refusal.New(refusal.BadRequest, "no such path"))
	}
}

// unreadable answers a request whose head or body could not be read.
func (s *Server) unreadable(ctx *fasthttp.RequestCtx, err error) {
	e := refusal.New(refusal.BadRequest, "the request could not be read: "+err.Error())
	if err == fasthttp.ErrBodyTooLarge {
		e = refusal.New(refusal.BodyTooLarge, "the body is longer than "+strconv.Itoa(int(s.opts.Limits.MaxBodyBytes))+" bytes")
	}
	s.refuse(ctx, e.Reason.Status(), e)
}

func (s *Server) endpoints(ctx *fasthttp.RequestCtx) {
	c, ok := s.authenticate(ctx)
	if !ok {
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, s.opts.Backend.Endpoints(c))
}

func (s *Server) query(ctx *fasthttp.RequestCtx, name string) {
	c, ok := s.authenticate(ctx)
	if !ok {
		return
	}
	k, ok := c.Kinds[name]
	if !ok {
		e := refusal.New(refusal.UnknownKind, "the contract of "+c.Name+" has no kind "+strconv.Quote(name))
		s.refuse(ctx, e.Reason.Status(), e)
		return
	}
	req, err := request(ctx)
	if err != nil {
		s.refuse(ctx, err.Reason.Status(), err)
		return
	}
	answer, failure := s.opts.Frontend.Query(context.Background(), k, req)
	if failure != nil {
		writeFailure(ctx, failure)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, answer)
}

// request copies what outlives the handler: the library reuses its buffers.
func request(ctx *fasthttp.RequestCtx) (*frontend.Request, *refusal.Error) {
	req := &frontend.Request{Body: append([]byte(nil), ctx.PostBody()...)}
	text := string(ctx.Request.Header.Peek(HeaderDeadline))
	if text == "" {
		return req, nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms == 0 {
		return nil, refusal.New(refusal.BadRequest, HeaderDeadline+" must be a whole number of milliseconds above 0")
	}
	req.Deadline = time.Duration(ms) * time.Millisecond
	return req, nil
}

func (s *Server) authenticate(ctx *fasthttp.RequestCtx) (*contract.Customer, bool) {
	if why := s.opts.Backend.NotReady(); why != "" {
		e := refusal.New(refusal.NotReady, why).After(time.Second)
		s.refuse(ctx, e.Reason.Status(), e)
		return nil, false
	}
	token, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	if ok {
		if c, found := s.opts.Backend.Snapshot().Authenticate(token); found {
			return c, true
		}
	}
	e := refusal.New(refusal.Unauthenticated, "a bearer token of a contract is needed")
	s.refuse(ctx, e.Reason.Status(), e)
	return nil, false
}

func (s *Server) refuse(ctx *fasthttp.RequestCtx, status int, e *refusal.Error) {
	s.opts.Frontend.Refuse(e)
	writeError(ctx, status, ErrorDetail{Reason: e.Reason, Ran: e.Ran, Message: e.Detail}, e.RetryAfter)
}

func writeFailure(ctx *fasthttp.RequestCtx, f *frontend.Failure) {
	writeError(ctx, f.Reason.Status(), ErrorDetail{
		Reason:    f.Reason,
		Ran:       f.Ran,
		Message:   f.Detail,
		RequestID: f.RequestID,
		Coverage:  f.Coverage,
	}, f.RetryAfter)
}

func writeError(ctx *fasthttp.RequestCtx, status int, d ErrorDetail, after time.Duration) {
	if after > 0 {
		d.RetryAfterMS = max(1, after.Milliseconds())
		seconds := (after + time.Second - 1) / time.Second
		ctx.Response.Header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	writeJSON(ctx, status, ErrorBody{Error: d})
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
