// Package httpserver holds the common part of the HTTP interfaces for callers and for
// operators: serving with a graceful shutdown, and closing connections whose remote end takes
// nothing.
package httpserver

import (
	"context"
	"net"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

// Server is an HTTP server with graceful shutdown.
type Server struct {
	http *fasthttp.Server
	// limiter limits the connections; nil if the listener does.
	limiter *ConnLimiter
}

// New wraps a configured fasthttp server and sets the options that all interfaces share. It
// modifies s.
func New(s *fasthttp.Server) Server {
	s.NoDefaultServerHeader = true
	s.CloseOnShutdown = true
	s.Logger = discardLogger{}
	return Server{http: s}
}

// LimitConns makes Serve limit the connections of its listener. It must be called before Serve.
func (s *Server) LimitConns(l *ConnLimiter) {
	s.http.Concurrency = l.Concurrency()
	s.limiter = l
}

// Serve accepts connections on ln and serves requests until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	if s.limiter != nil {
		ln = s.limiter.Listener(ln)
	}
	return trace.Wrap(s.http.Serve(ln))
}

// Shutdown stops accepting connections and waits until all open requests are served or ctx
// is done.
func (s *Server) Shutdown(ctx context.Context) error {
	return trace.Wrap(s.http.ShutdownWithContext(ctx))
}

// discardLogger discards the log lines of fasthttp: they are not in this project's log
// format, and every refusal is counted.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
