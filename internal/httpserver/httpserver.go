// Package httpserver holds the common part of the HTTP interfaces for callers and for
// operators: serving with a graceful shutdown, and closing connections whose remote end takes
// nothing.
package httpserver

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

// Server is an HTTP server with graceful shutdown.
type Server struct {
	http *fasthttp.Server
	// accepting is the listener of Serve.
	accepting *atomic.Pointer[onceListener]
}

// New wraps a configured fasthttp server and sets the options that all interfaces share. It
// modifies s.
func New(s *fasthttp.Server) Server {
	s.NoDefaultServerHeader = true
	s.CloseOnShutdown = true
	s.Logger = discardLogger{}
	return Server{http: s, accepting: &atomic.Pointer[onceListener]{}}
}

// Serve accepts connections on ln and serves requests until StopAccepting or Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	once := &onceListener{Listener: ln}
	s.accepting.Store(once)
	return trace.Wrap(s.http.Serve(once))
}

// StopAccepting closes the listener. Connections that are open, also idle ones, stay and are
// served.
func (s *Server) StopAccepting() error {
	if ln := s.accepting.Load(); ln != nil {
		return trace.Wrap(ln.Close())
	}
	return nil
}

// onceListener is a listener that may be closed more than once.
type onceListener struct {
	net.Listener
	once sync.Once
	err  error
}

// Close implements net.Listener.
func (l *onceListener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
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
