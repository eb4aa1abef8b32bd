package connpool

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/bodylimit"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

// flood reads one request and writes a text, then another one without end, piece bytes at a time.
// It closes ended once the connection is closed.
func flood(text, forever string, piece int, ended chan<- struct{}) func(int, net.Conn) {
	return func(_ int, c net.Conn) {
		if readID(bufio.NewReader(c)) == "" {
			return
		}
		defer close(ended)
		if _, err := c.Write([]byte(text)); err != nil {
			return
		}
		repeated := []byte(strings.Repeat(forever, max(1, piece/len(forever))))
		for at := 0; ; at = (at + piece) % len(repeated) {
			if _, err := c.Write(repeated[at:min(at+piece, len(repeated))]); err != nil {
				return
			}
		}
	}
}

// Guards against upstreams that send bytes without end, in any part of a response, fast or a byte
// at a time: the call must end, its connection must be closed and its memory given back.
func TestEndlessResponseEndsTheCall(t *testing.T) {
	for name, text := range standin.EndlessAnswers {
		for _, piece := range []int{1, 32 << 10} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				ended := make(chan struct{})
				s := newServer(t, flood(text[0], text[1], piece, ended))
				c := newClient(t, s, 1)
				memory := bodylimit.NewMemory(256<<10, func() {})
				c.pools.LimitBodies(memory, 128<<10)
				if r := c.call("a"); r.Result != scatter.Lost {
					t.Errorf("%v %s, want a lost answer", r.Result, r.Detail)
				}
				c.waitAllClosed()
				select {
				case <-ended:
				case <-time.After(testTimeout):
					t.Error("the connection stays open")
				}
				if memory.Used() != 0 {
					t.Errorf("%d bytes are still held", memory.Used())
				}
			})
		}
	}
}

// Guards against a response that stays below every limit of size and never ends: the deadline of
// the call ends it.
func TestTrickledResponseEndsAtTheDeadline(t *testing.T) {
	for name, text := range map[string]string{
		"first line": "HTTP/1.1 2", "header": "HTTP/1.1 200 OK\r\nA: ", "body": "HTTP/1.1 200 OK\r\n\r\nx",
		"chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan struct{})
			s := newServer(t, func(_ int, c net.Conn) {
				br := bufio.NewReader(c)
				if readID(br) == "" {
					return
				}
				defer close(ended)
				if _, err := c.Write([]byte(text)); err != nil {
					return
				}
				// Blocks until the client closes the connection.
				_, _ = br.ReadByte()
			})
			c := newClient(t, s, 1)
			call, done := c.prepare("a", nil, 0)
			call.Deadline = time.Now().Add(50 * time.Millisecond)
			c.pools.Do(call)
			if r := c.wait(done); r.Result != scatter.Lost {
				t.Errorf("%v %s, want a lost answer", r.Result, r.Detail)
			}
			<-ended
		})
	}
}

// Guards against many endless responses at the same time: together they stay within the memory, and
// another upstream's response of an ordinary size arrives.
func TestEndlessResponsesStayWithinTheMemoryTogether(t *testing.T) {
	const floods, limit = 8, 1 << 20
	ended := make(chan struct{}, floods)
	s := newServer(t, func(n int, c net.Conn) {
		own := make(chan struct{})
		flood("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("x", 1024)+"\r\n", 64<<10, own)(n, c)
		ended <- struct{}{}
	})
	body := strings.Repeat("y", 32<<10)
	sound := newServer(t, respondWith(func(id string) string { return response(id, body) }))
	c := newClient(t, s, floods)
	memory := bodylimit.NewMemory(limit, func() {})
	c.pools.LimitBodies(memory, limit)
	replies := make(chan Reply, floods)
	for range floods {
		call, _ := c.prepare("a", nil, 0)
		call.Done = func(r Reply) { replies <- r }
		c.pools.Do(call)
	}
	other := newClient(t, sound, 1)
	other.pools.LimitBodies(memory, limit)
	for range 20 {
		if r := other.call("b"); r.Result != scatter.Answered || string(r.Response.Body()) != body {
			t.Errorf("a sound response beside endless ones: %v %s", r.Result, r.Detail)
		} else {
			r.Body.Release()
		}
		if used := memory.Used(); used > limit {
			t.Errorf("%d bytes are held, the limit is %d", used, limit)
		}
	}
	for range floods {
		if r := c.wait(replies); r.Result != scatter.Lost {
			t.Errorf("%v %s, want a lost answer", r.Result, r.Detail)
		}
		<-ended
	}
	if memory.Used() != 0 {
		t.Errorf("%d bytes are still held", memory.Used())
	}
}

// Guards against health checks that do not end: the upstream must not be given the request, and the
// connection must be closed.
func TestEndlessHealthResponseBarsTheUpstream(t *testing.T) {
	for name, text := range standin.EndlessAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newServer(t, func(_ int, c net.Conn) {
				var req fasthttp.Request
				if req.Read(bufio.NewReader(c)) != nil {
					return
				}
				if _, err := c.Write([]byte(text[0])); err != nil {
					return
				}
				for {
					if _, err := c.Write([]byte(text[1])); err != nil {
						return
					}
				}
			})
			c := newClient(t, s, 1)
			c.pools.observer = healthObserver{}
			if r := c.call("a"); r.Result != scatter.Barred {
				t.Errorf("%v %s, want the upstream to be barred", r.Result, r.Detail)
			}
			c.waitAllClosed()
			if h, err := c.pools.dialHealth(c.up, "/health"); err == nil {
				t.Errorf("an own check takes it for %+v", h)
			}
		})
	}
}
