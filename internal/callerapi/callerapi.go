// Package callerapi is the HTTP interface for callers. It authenticates requests,
// enforces size and time limits on them and translates between HTTP and package
// frontend, which makes all other decisions.
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

	"sycamorekeel.example/sycamorekeel/internal/bodylimit"
	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/frontend"
	"sycamorekeel.example/sycamorekeel/internal/httpserver"
	"sycamorekeel.example/sycamorekeel/internal/idempotency"
	"sycamorekeel.example/sycamorekeel/internal/membudget"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
)

// Paths and headers of the interface; docs/INTERFACES.md describes them.
const (
	EndpointsPath  = "/v1/endpoints"
	QueryPath      = "/v1/query/"
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderOperation carries the idempotency key of a non-idempotent request:
	// lease prefix, full stop, counter.
	HeaderOperation = "Idempotency-Key"
	HeaderRequestID = "X-Request-Id"
)

// Timeouts of a connection. Without them, a caller that sends or reads slowly could
// hold one of the limited connections indefinitely.
const (
	readTimeout  = 10 * time.Second
	writeTimeout = 10 * time.Second
	idleTimeout  = 60 * time.Second
)

// maxDeadlineMS is the longest deadline that a caller may request, in milliseconds.
// A shorter deadline in the contract takes precedence.
const maxDeadlineMS = 3_600_000

// Endpoints is the JSON response of EndpointsPath.
type Endpoints struct {
	Endpoints []Endpoint `json:"endpoints"`
	// TTLMS is how long the response may be cached, in milliseconds.
	TTLMS int64 `json:"ttl_ms"`
	// OperationLease is absent if the customer has no non-idempotent kind, or if
	// the VM that served the request is stopping or not in Endpoints. In the second
	// case, a VM in Endpoints issues a lease.
	OperationLease *OperationLease `json:"operation_lease,omitempty"`
}

// Endpoint is an address that accepts queries. Endpoints are listed best first.
type Endpoint struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// OperationLease lets a caller build idempotency keys.
type OperationLease struct {
	// Prefix starts a key. A full stop and a decimal counter follow: a new counter
	// for each request, the same one when a request is resent.
	Prefix string `json:"prefix"`
	// Address is the VM that runs the requests; other VMs forward to it.
	Address string `json:"address"`
	// ExpiresInMS is how long to use the prefix for new requests, in
	// milliseconds.
	ExpiresInMS int64 `json:"expires_in_ms"`
}

// ErrorBody and ErrorDetail are the JSON response of a refusal.
type (
	ErrorBody   = frontend.ErrorBody
	ErrorDetail = frontend.ErrorDetail
)

// Backend provides the daemon's state to the interface.
type Backend interface {
	// Snapshot returns the contracts in force.
	Snapshot() *contract.Snapshot
	// NotReady returns why requests cannot be served, or "" if they can.
	NotReady() string
	// Stopping reports whether a planned stop has begun. From then on, running
	// requests are answered, including resent copies, and new requests are refused.
	Stopping() bool
	// CallerAddress returns this VM's address for callers, as IP:port.
	CallerAddress() string
	// Endpoints returns the addresses for a customer, without a lease.
	Endpoints(c *contract.Customer) Endpoints
}

// Options configures a Server.
type Options struct {
	Log        *zap.Logger
	Limits     *pb.Limits
	Backend    Backend
	Frontend   *frontend.Frontend
	Operations *frontend.Operations
	// ReadTimeout is the time limit for reading a request; 0 means 10 s.
	ReadTimeout time.Duration
	// MaxConnections limits the connections, below Limits.MaxConnections if the machine is small;
	// 0 for the limit of Limits.
	MaxConnections int
	// Bodies limits the memory of request bodies; nil for a limit by the default memory.
	Bodies *bodylimit.Memory
	// OnConn is called for each connection that is closed to keep the limits; nil for no call.
	OnConn func(httpserver.ConnEvent)
}

// Server is the HTTP server for callers of one daemon.
type Server struct {
	httpserver.Server
	opts Options
}

// New returns a server for the given options.
func New(opts Options) *Server {
	if opts.ReadTimeout == 0 {
		opts.ReadTimeout = readTimeout
	}
	if opts.MaxConnections == 0 {
		opts.MaxConnections = int(opts.Limits.MaxConnections)
	}
	if opts.Bodies == nil {
		opts.Bodies = bodylimit.NewMemory(membudget.Budget{}.CallerBodies(), func() {})
	}
	s := &Server{opts: opts}
	http := &fasthttp.Server{
		Name:           "sycamorekeel",
		ReadBufferSize: int(opts.Limits.MaxHeaderBytes),
		ReadTimeout:    opts.ReadTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    idleTimeout,
	}
	bodies := &httpserver.Bodies{Memory: opts.Bodies, Limit: func() int { return int(opts.Limits.MaxBodyBytes) }}
	bodies.Serve(http, s.handle, s.handleReadError)
	s.Server = httpserver.New(http)
	s.LimitConns(&httpserver.ConnLimiter{
		Max:          opts.MaxConnections,
		MaxPerIP:     int(opts.Limits.MaxConnectionsPerIp),
		Refusal:      httpserver.UnavailableResponse,
		RefusalPerIP: httpserver.TooManyResponse,
		OnEvent:      opts.OnConn,
	})
	return s
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	kind, isQuery := strings.CutPrefix(path, QueryPath)
	switch {
	case path == EndpointsPath:
		s.requireMethod(ctx, fasthttp.MethodGet, s.endpoints)
	case isQuery:
		s.requireMethod(ctx, fasthttp.MethodPost, func(ctx *fasthttp.RequestCtx) { s.query(ctx, kind) })
	default:
		s.refuse(ctx, refusal.New(refusal.NotFound, "no such path; there are "+EndpointsPath+" and "+QueryPath+"{kind}"))
	}
}

// requireMethod calls next if the request has the given method and refuses others.
func (s *Server) requireMethod(ctx *fasthttp.RequestCtx, method string, next fasthttp.RequestHandler) {
	if string(ctx.Method()) != method {
		ctx.Response.Header.Set(fasthttp.HeaderAllow, method)
		s.refuse(ctx, refusal.New(refusal.MethodNotAllowed, "the method here is "+method))
		return
	}
	next(ctx)
}

// handleReadError refuses a request whose head or body could not be read.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	s.refuse(ctx, s.readError(err))
}

// readError returns the refusal for a request that could not be read. It says "not
// run" only if every copy of the request would be refused alike. An incomplete
// request may be a copy of one that ran.
func (s *Server) readError(err error) *refusal.Error {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.Is(err, bodylimit.ErrTooLarge):
		return refusal.New(refusal.BodyTooLarge, "the body is longer than "+strconv.Itoa(int(s.opts.Limits.MaxBodyBytes))+" bytes")
	case errors.As(err, &small):
		return refusal.New(refusal.HeaderTooLarge, "the headers are longer than "+strconv.Itoa(int(s.opts.Limits.MaxHeaderBytes))+" bytes")
	case errors.Is(err, bodylimit.ErrNoMemory):
		return refusal.New(refusal.Overloaded, "the bodies of all requests take too much memory").WithRetryAfter(time.Second).WithUnproven()
	case errors.Is(err, httpserver.ErrDisplaced):
		return refusal.New(refusal.Overloaded, "the connection is needed for others, and the request has not come whole").WithRetryAfter(time.Second).WithUnproven()
	case errors.As(err, &timeout) && timeout.Timeout():
		return refusal.New(refusal.RequestTimeout, "the request did not come whole within "+s.opts.ReadTimeout.String()).WithUnproven()
	default:
		return refusal.New(refusal.BadRequest, "the request could not be read: "+err.Error()).WithUnproven()
	}
}

func (s *Server) endpoints(ctx *fasthttp.RequestCtx) {
	c, ok := s.authenticate(ctx)
	if !ok {
		return
	}
	e := s.opts.Backend.Endpoints(c)
	if needsLease(c) && s.canLease(&e) {
		prefix, use := s.opts.Operations.Lease(c.Name)
		e.OperationLease = &OperationLease{Prefix: prefix, Address: s.opts.Backend.CallerAddress(), ExpiresInMS: use.Milliseconds()}
	}
	body, err := json.Marshal(e)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	writeReply(ctx, &frontend.Reply{Status: fasthttp.StatusOK, Body: body})
}

// canLease reports whether this VM should issue a lease. Requests under a lease of a
// VM that is stopping or not among the customer's endpoints would only be refused.
func (s *Server) canLease(e *Endpoints) bool {
	if s.opts.Backend.Stopping() {
		return false
	}
	own := s.opts.Backend.CallerAddress()
	return slices.ContainsFunc(e.Endpoints, func(v Endpoint) bool { return v.Address == own })
}

// needsLease reports whether the customer has a non-idempotent kind.
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
	req, err := parseRequest(ctx)
	if err != nil {
		s.refuse(ctx, err)
		return
	}
	writeReply(ctx, s.opts.Operations.Serve(context.Background(), k, req))
}

// parseRequest reads the body, key and deadline of a query. It copies what outlives
// the handler, because fasthttp reuses its buffers.
func parseRequest(ctx *fasthttp.RequestCtx) (*frontend.Request, *refusal.Error) {
	for _, name := range []string{HeaderOperation, HeaderDeadline} {
		// fasthttp returns one of two values and another reader may use the
		// other, which gives one request two keys.
		if len(ctx.Request.Header.PeekAll(name)) > 1 {
			return nil, refusal.New(refusal.BadRequest, name+" must be given once")
		}
	}
	req := &frontend.Request{
		Body:      httpserver.Body(ctx),
		Operation: string(ctx.Request.Header.Peek(HeaderOperation)),
	}
	text := string(ctx.Request.Header.Peek(HeaderDeadline))
	if text == "" {
		return req, nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil || ms == 0 || ms > maxDeadlineMS {
		return nil, refusal.New(refusal.BadRequest, HeaderDeadline+" must be a whole number of milliseconds from 1 to "+strconv.Itoa(maxDeadlineMS))
	}
	req.Deadline = time.Duration(ms) * time.Millisecond
	return req, nil
}

// authenticate returns the customer of the request's token, or refuses the request.
func (s *Server) authenticate(ctx *fasthttp.RequestCtx) (*contract.Customer, bool) {
	if why := s.opts.Backend.NotReady(); why != "" && !s.opts.Backend.Stopping() {
		s.refuse(ctx, refusal.New(refusal.NotReady, why).WithRetryAfter(time.Second))
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

// refuse refuses a request that did not reach the operation table. If the request
// carries a key, an earlier copy may have reached the table of this or another VM.
// The refusal then must not say "not run": the caller would choose another key and
// the request could run twice.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, e *refusal.Error) {
	operation := string(ctx.Request.Header.Peek(HeaderOperation))
	if _, err := idempotency.ParseKey(operation); err != nil {
		operation = ""
	} else {
		e = e.WithUnproven()
	}
	s.opts.Frontend.CountRefusal(e)
	writeReply(ctx, frontend.Refused(&frontend.Failure{Error: e, Operation: operation}))
}

func writeReply(ctx *fasthttp.RequestCtx, r *frontend.Reply) {
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
