// Package httpserver is what the HTTP interfaces for callers and for operators
// have in common: serving until a shutdown that cuts nothing off.
package httpserver

import (
	"context"
	"net"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

// Server is one HTTP interface.
type Server struct {
	http *fasthttp.Server
}

// New takes a configured library server and sets what all interfaces share.
func New(s *fasthttp.Server) Server {
	s.NoDefaultServerHeader = true
	s.CloseOnShutdown = true
	s.Logger = silent{}
	return Server{http: s}
}

// Serve answers requests until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	return trace.Wrap(s.http.Serve(ln))
}

// Shutdown stops accepting and waits for open requests or ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	return trace.Wrap(s.http.ShutdownWithContext(ctx))
}

// silent drops the library's own lines: they are not in this project's form,
// and every refusal is counted.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}
