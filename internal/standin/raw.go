package standin

import (
	"bufio"
	"net"
	"strings"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

// Raw answers each request with the same bytes, which need not be a response.
type Raw struct {
	ln     net.Listener
	answer []byte
	// endless is sent without end after the answer, unless it is empty.
	endless []byte
	// ended receives a value for each endless answer that its client has closed.
	ended chan struct{}
}

// StartRaw starts a server on a free port of the loopback interface.
func StartRaw(answer string) (*Raw, error) { return startRaw(answer, "") }

// StartEndless starts a server that sends a text after the answer until the client closes.
func StartEndless(answer, text string) (*Raw, error) {
	return startRaw(answer, strings.Repeat(text, endlessBytes/len(text)+1))
}

// endlessBytes is the size of what an endless answer sends at a time.
const endlessBytes = 16 << 10

func startRaw(answer, endless string) (*Raw, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &Raw{ln: ln, answer: []byte(answer), endless: []byte(endless), ended: make(chan struct{}, 1)}
	go r.accept()
	return r, nil
}

// WaitEnded waits until a client has closed an endless answer.
func (r *Raw) WaitEnded() { <-r.ended }

// EndlessAnswers holds answers that do not end, by their endless part: the beginning of each and what
// follows without end.
var EndlessAnswers = map[string][2]string{
	"no response":     {"", "x"},
	"first line":      {"HTTP/1.1 200 ", "x"},
	"header":          {"HTTP/1.1 200 OK\r\nA: ", "x"},
	"headers":         {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	"interim heads":   {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"chunk size":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"chunk extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"trailers":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	"body":            {"HTTP/1.1 200 OK\r\n\r\n", "x"},
	"declared length": {"HTTP/1.1 200 OK\r\nContent-Length: 4000000000\r\n\r\n", "x"},
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
		if len(r.endless) > 0 {
			r.flood(c)
			return
		}
	}
}

// flood sends the endless part until the connection is closed.
func (r *Raw) flood(c net.Conn) {
	for {
		if _, err := c.Write(r.endless); err != nil {
			r.ended <- struct{}{}
			return
		}
	}
}
