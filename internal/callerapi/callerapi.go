// Package callerapi is the HTTP interface for callers: authentication, limits
// on what is read, JSON in and out. It decides nothing else.
package callerapi

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/frontend"
	"sycamorekeel.example/sycamorekeel/internal/httpserver"
	"sycamorekeel.example/sycamorekeel/internal/once"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
)

// Paths and headers of the interface; docs/INTERFACES.md describes them.
const (
	EndpointsPath  = "/v1/endpoints"
	QueryPath      = "/v1/query/"
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderOperation names a non-idempotent request: lease prefix, full stop,
	// counter.
	HeaderOperation = "Idempotency-Key"
	HeaderRequestID = "X-Request-Id"
)

// Timeouts of a connection. A caller that sends or reads too slowly would hold
// one of the connections for as long as it likes.
const (
	readTimeout  = 10 * time.Second
	writeTimeout = 10 * time.Second
	idleTimeout  = 60 * time.Second
)

// maxDeadline is the longest deadline a caller may ask for, in milliseconds. The
// contract's counts where it is shorter.
const maxDeadline = 3_600_000

// Endpoints is the answer of EndpointsPath.
type Endpoints struct {
	Endpoints []Endpoint `json:"endpoints"`
	// TTLMS is how long the answer may be kept.
	TTLMS int64 `json:"ttl_ms"`
	// OperationLease is absent when the customer has no non-idempotent kind and
	// when the VM that was asked is none of Endpoints: ask one of those.
	OperationLease *OperationLease `json:"operation_lease,omitempty"`
}

// Endpoint is one address to send queries to, best first.
type Endpoint struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// OperationLease lets a caller name non-idempotent requests.
type OperationLease struct {
	// Prefix is followed by a full stop and a decimal counter, a new one for
	// each request and the same one for a request sent again.
	Prefix string `json:"prefix"`
	// Address is the VM that runs the requests; others forward to it.
	Address string `json:"address"`
	// ExpiresInMS is how long to use the prefix for new requests.
	ExpiresInMS int64 `json:"expires_in_ms"`
}

// ErrorBody and ErrorDetail are the JSON of a refusal.
type (
	ErrorBody   = frontend.ErrorBody
	ErrorDetail = frontend.ErrorDetail
)

// Backend is what the interface serves.
type Backend interface {
	Snapshot() *contract.Snapshot
	// NotReady is empty when requests can be served.
	NotReady() string
	// Stopping is true from the start of a planned stop: what is under way is
	// answered, also to callers that ask again, and nothing new is taken.
	Stopping() bool
	// CallerAddress is this VM's address for callers, IP and port.
	CallerAddress() string
	Endpoints(c *contract.Customer) Endpoints
}

// Options is what a server needs.
type Options struct {
	Log        *zap.Logger
	Limits     *pb.Limits
	Backend    Backend
	Frontend   *frontend.Frontend
	Operations *frontend.Operations
	// ReadTimeout for a whole request; 0 takes the default.
	ReadTimeout time.Duration
}

// Server is the caller interface of one daemon.
type Server struct {
	httpserver.Server
	opts Options
}

// New makes a server.
func New(opts Options) *Server {
	if opts.ReadTimeout == 0 {
		opts.ReadTimeout = readTimeout
	}
	s := &Server{opts: opts}
	s.Server = httpserver.New(&fasthttp.Server{
		Name:               "sycamorekeel",
		Handler:            s.handle,
		ErrorHandler:       s.unreadable,
		MaxRequestBodySize: int(opts.Limits.MaxBodyBytes),
		ReadBufferSize:     int(opts.Limits.MaxHeaderBytes),
		Concurrency:        int(opts.Limits.MaxConnections),
		MaxConnsPerIP:      int(opts.Limits.MaxConnectionsPerIp),
		ReadTimeout:        opts.ReadTimeout,
		WriteTimeout:       writeTimeout,
		IdleTimeout:        idleTimeout,
		// A body is passed on as it came: nothing is to parse it here.
		DisablePreParseMultipartForm: true,
	})
	return s
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	kind, isQuery := strings.CutPrefix(path, QueryPath)
	switch {
	case path == EndpointsPath:
		s.only(ctx, fasthttp.MethodGet, s.endpoints)
	case isQuery:
		s.only(ctx, fasthttp.MethodPost, func(ctx *fasthttp.RequestCtx) { s.query(ctx, kind) })
	default:
		s.refuse(ctx, refusal.New(refusal.NotFound, "no such path; there are "+EndpointsPath+" and "+QueryPath+"{kind}"))
	}
}

func (s *Server) only(ctx *fasthttp.RequestCtx, method string, next fasthttp.RequestHandler) {
	if string(ctx.Method()) != method {
		ctx.Response.Header.Set(fasthttp.HeaderAllow, method)
		s.refuse(ctx, refusal.New(refusal.MethodNotAllowed, "the method here is "+method))
		return
	}
	next(ctx)
}

// unreadable answers a request whose head or body could not be read.
func (s *Server) unreadable(ctx *fasthttp.RequestCtx, err error) {
	s.refuse(ctx, s.errUnreadable(err))
}

// errUnreadable says "not run" of a request that every copy of would be refused
// for. A request that broke off may be a copy of one that ran.
func (s *Server) errUnreadable(err error) *refusal.Error {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return refusal.New(refusal.BodyTooLarge, "the body is longer than "+strconv.Itoa(int(s.opts.Limits.MaxBodyBytes))+" bytes")
	case errors.As(err, &small):
		return refusal.New(refusal.HeaderTooLarge, "the headers are longer than "+strconv.Itoa(int(s.opts.Limits.MaxHeaderBytes))+" bytes")
	case errors.As(err, &timeout) && timeout.Timeout():
		return refusal.New(refusal.RequestTimeout, "the request did not come whole within "+s.opts.ReadTimeout.String()).Unproven()
	default:
		return refusal.New(refusal.BadRequest, "the request could not be read: "+err.Error()).Unproven()
	}
}

func (s *Server) endpoints(ctx *fasthttp.RequestCtx) {
	c, ok := s.authenticate(ctx)
	if !ok {
		return
	}
	e := s.opts.Backend.Endpoints(c)
	if needsLease(c) && s.serves(&e) {
		prefix, use := s.opts.Operations.Lease(c.Name)
		e.OperationLease = &OperationLease{Prefix: prefix, Address: s.opts.Backend.CallerAddress(), ExpiresInMS: use.Milliseconds()}
	}
	body, err := json.Marshal(e)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	write(ctx, &frontend.Reply{Status: fasthttp.StatusOK, Body: body})
}

// serves tells whether a lease of this VM is of use: one of a VM that the
// customer is sent away from would only give refusals.
func (s *Server) serves(e *Endpoints) bool {
	if s.opts.Backend.Stopping() {
		return false
	}
	own := s.opts.Backend.CallerAddress()
	return slices.ContainsFunc(e.Endpoints, func(v Endpoint) bool { return v.Address == own })
}

func needsLease(c *contract.Customer) bool {
	for _, k := range c.Kinds {
		if !k.Idempotent {
			return true
		}
	}
	return false
}

func (s *Server) query(ctx *fasthttp.RequestCtx, name string) {
	c, ok := s.authenticate(ctx)
	if !ok {
		return
	}
	k, ok := c.Kinds[name]
	if !ok {
		s.refuse(ctx, refusal.New(refusal.UnknownKind, "the contract of "+c.Name+" has no kind "+strconv.Quote(name)))
		return
	}
	req, err := request(ctx)
	if err != nil {
		s.refuse(ctx, err)
		return
	}
	write(ctx, s.opts.Operations.Serve(context.Background(), k, req))
}

// request copies what outlives the handler: the library reuses its buffers.
func request(ctx *fasthttp.RequestCtx) (*frontend.Request, *refusal.Error) {
	for _, name := range []string{HeaderOperation, HeaderDeadline} {
		// With two values the library gives one and another reader may take
		// the other: two keys for one request.
		if len(ctx.Request.Header.PeekAll(name)) > 1 {
			return nil, refusal.New(refusal.BadRequest, name+" must be given once")
		}
	}
	req := &frontend.Request{
		Body:      append([]byte(nil), ctx.PostBody()...),
		Operation: string(ctx.Request.Header.Peek(HeaderOperation)),
	}
	text := string(ctx.Request.Header.Peek(HeaderDeadline))
	if text == "" {
		return req, nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil || ms == 0 || ms > maxDeadline {
		return nil, refusal.New(refusal.BadRequest, HeaderDeadline+" must be a whole number of milliseconds from 1 to "+strconv.Itoa(maxDeadline))
	}
	req.Deadline = time.Duration(ms) * time.Millisecond
	return req, nil
}

func (s *Server) authenticate(ctx *fasthttp.RequestCtx) (*contract.Customer, bool) {
	if why := s.opts.Backend.NotReady(); why != "" && !s.opts.Backend.Stopping() {
		s.refuse(ctx, refusal.New(refusal.NotReady, why).After(time.Second))
		return nil, false
	}
	token, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if ok {
		if c, found := s.opts.Backend.Snapshot().Authenticate(token); found {
			return c, true
		}
	}
	ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	s.refuse(ctx, refusal.New(refusal.Unauthenticated, "a bearer token of a contract is needed"))
	return nil, false
}

// refuse answers a request that did not reach the table of operations. When it
// carries a key, an earlier copy may have reached it, here or on another VM, so
// "not run" would be a guess: the caller would choose another key and the
// request could run twice.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, e *refusal.Error) {
	operation := string(ctx.Request.Header.Peek(HeaderOperation))
	if _, err := once.ParseKey(operation); err != nil {
		operation = ""
	} else {
		e = e.Unproven()
	}
	s.opts.Frontend.Refuse(e)
	write(ctx, frontend.Refused(&frontend.Failure{Error: e, Operation: operation}))
}

func write(ctx *fasthttp.RequestCtx, r *frontend.Reply) {
	h := &ctx.Response.Header
	if r.RequestID != "" {
		h.Set(HeaderRequestID, r.RequestID)
	}
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		h.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	ctx.SetStatusCode(r.Status)
	ctx.SetContentType("application/json")
	ctx.Response.SetBodyRaw(r.Body)
}
