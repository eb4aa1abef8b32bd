// Package operatorapi is the read-only HTTP interface for operators: health,
// readiness, metrics, status and explain.
package operatorapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/bodylimit"
	"sycamorekeel.example/sycamorekeel/internal/config"
	"sycamorekeel.example/sycamorekeel/internal/explain"
	"sycamorekeel.example/sycamorekeel/internal/httpserver"
)

// Paths of the interface; docs/INTERFACES.md describes them.
const (
	HealthPath  = "/healthz"
	ReadyPath   = "/readyz"
	MetricsPath = "/metrics"
	StatusPath  = "/v1/status"
	ExplainPath = "/v1/explain/"
)

const (
	// timeout limits reading a request, writing a response and the idle time of a connection.
	timeout = 10 * time.Second
	// maxConnections limits the connections of operators and of what scrapes metrics.
	maxConnections = 64
	// maxBodyBytes limits a body, of which no request needs one.
	maxBodyBytes = 4 << 10
)

// Status is the JSON response of StatusPath.
type Status struct {
	VM          string            `json:"vm"`
	Incarnation uint64            `json:"incarnation"`
	DataCentre  string            `json:"data_centre"`
	Region      string            `json:"region"`
	Ready       bool              `json:"ready"`
	NotReady    string            `json:"not_ready,omitempty"`
	Revision    uint64            `json:"config_revision"`
	Rejected    []config.Rejected `json:"rejected_documents,omitempty"`
	Conflicts   []string          `json:"conflicts,omitempty"`
	Platform    Platform          `json:"platform"`
	Members     []Member          `json:"members"`
	Owned       []string          `json:"owned_upstreams"`
}

// Platform is the state of this VM's access to the configuration service.
type Platform struct {
	// Reader reports whether this VM watches the service. Other VMs pull the
	// configuration from peers.
	Reader bool `json:"reader"`
	// ConfirmedMS is the time since the service last confirmed the configuration,
	// to this VM or to the VM it was pulled from, in milliseconds.
	ConfirmedMS int64 `json:"confirmed_ms_ago"`
	// Failures counts the consecutive failed reads of this VM. Reason states why
	// the last one failed.
	Failures int    `json:"failures,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// Member is a VM in this VM's membership view.
type Member struct {
	VM         string `json:"vm"`
	State      string `json:"state"`
	DataCentre string `json:"data_centre"`
}

// Backend provides the daemon's state to the interface.
type Backend interface {
	Status() Status
	// NotReady returns why requests cannot be served, or "" if they can.
	NotReady() string
}

// Options configures a Server.
type Options struct {
	Log      *zap.Logger
	Gatherer prometheus.Gatherer
	Backend  Backend
	Explain  *explain.Ring
	// TokenSHA256 is the SHA-256 hash of the operators' token in lower-case hex. If
	// it is empty, no token is required.
	TokenSHA256 string
	// OnConn is called for each connection that is closed to keep the limits; nil for no call.
	OnConn func(httpserver.ConnEvent)
}

// Server is the HTTP server for operators of one daemon.
type Server struct {
	httpserver.Server
	opts    Options
	metrics fasthttp.RequestHandler
}

// New returns a server for the given options.
func New(opts Options) *Server {
	s := &Server{
		opts:    opts,
		metrics: fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(opts.Gatherer, promhttp.HandlerOpts{})),
	}
	http := &fasthttp.Server{ReadTimeout: timeout, WriteTimeout: timeout, IdleTimeout: timeout}
	bodies := &httpserver.Bodies{Memory: bodylimit.NewMemory(maxConnections*maxBodyBytes, func() {}), Limit: func() int { return maxBodyBytes }}
	bodies.Serve(http, s.handle, httpserver.WriteReadError)
	s.Server = httpserver.New(http)
	s.LimitConns(&httpserver.ConnLimiter{Max: maxConnections, Refusal: httpserver.UnavailableResponse, OnEvent: opts.OnConn})
	return s
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == HealthPath:
		writeJSON(ctx, fasthttp.StatusOK, map[string]string{"status": "up"})
	case path == ReadyPath:
		s.ready(ctx)
	case !s.authorized(ctx):
		writeError(ctx, fasthttp.StatusUnauthorized, "the operators' bearer token is needed")
	case path == MetricsPath:
		s.metrics(ctx)
	case path == StatusPath:
		writeJSON(ctx, fasthttp.StatusOK, s.opts.Backend.Status())
	case strings.HasPrefix(path, ExplainPath):
		s.explain(ctx, strings.TrimPrefix(path, ExplainPath))
	default:
		writeError(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

// authorized reports whether the request carries the operators' token. It compares
// in constant time.
func (s *Server) authorized(ctx *fasthttp.RequestCtx) bool {
	if s.opts.TokenSHA256 == "" {
		return true
	}
	token, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	match := subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(s.opts.TokenSHA256)) == 1
	return ok && match
}

// ready reports readiness, or 503 with the reason.
func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	if why := s.opts.Backend.NotReady(); why != "" {
		writeError(ctx, fasthttp.StatusServiceUnavailable, why)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, map[string]string{"status": "ready"})
}

// explain returns the recorded request with the given ID.
func (s *Server) explain(ctx *fasthttp.RequestCtx, id string) {
	rec, ok := s.opts.Explain.Find(id)
	if !ok {
		writeError(ctx, fasthttp.StatusNotFound, "request "+id+" is not among the last ones this VM answered")
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, rec)
}

func writeError(ctx *fasthttp.RequestCtx, status int, message string) {
	writeJSON(ctx, status, map[string]string{"error": message})
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
