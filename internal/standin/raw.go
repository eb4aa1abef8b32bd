package standin

import (
	"bufio"
	"net"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

// Raw answers each request with the same bytes, which need not be a response.
type Raw struct {
	ln     net.Listener
	answer []byte
}

// StartRaw starts a server on a free port of the loopback interface.
func StartRaw(answer string) (*Raw, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &Raw{ln: ln, answer: []byte(answer)}
	go r.accept()
	return r, nil
}

// Address is where the server listens.
func (r *Raw) Address() string { return r.ln.Addr().String() }

// Close ends the listener. Connections end with their client.
func (r *Raw) Close() {
	// The listener is no longer used; a close error changes nothing.
	_ = r.ln.Close()
}

func (r *Raw) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *Raw) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if req.Read(br) != nil {
			return
		}
		if _, err := c.Write(r.answer); err != nil {
			return
		}
	}
}
