package connpool

import (
	"bufio"
	"net"
	"sync"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// refusal is a complete refusal of the request with an id.
func refusal(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n"
}

// refuseThenRepeat refuses the first request of each connection and, as soon as the next request
// arrives there, sends the refusal once more. It reports the ids of the requests that it runs.
func refuseThenRepeat(ran chan<- string) func(int, net.Conn) {
	return func(n int, c net.Conn) {
		br := bufio.NewReader(c)
		first := readID(br)
		if n > 0 {
			ran <- first
			_, _ = c.Write([]byte(response(first, "")))
			return
		}
		if _, err := c.Write([]byte(refusal(first))); err != nil {
			return
		}
		if next := readID(br); next != "" {
			ran <- next
			_, _ = c.Write([]byte(refusal(first) + response(next, "")))
		}
	}
}

// sendMessage sends a message, which may have been sent before.
func (c *client) sendMessage(m *Message) Reply {
	done := make(chan Reply, 1)
	c.pools.Do(&Call{Message: m, Upstream: c.up, Deadline: time.Now().Add(testTimeout), Done: func(r Reply) { done <- r }})
	return c.wait(done)
}

// Guards against a second copy of a refusal that is taken for the refusal of the next send of the
// same request: the request was sent again while it ran, or its caller was told that it had not
// run. With a limit of one connection the connection is replaced.
func TestRepeatedRefusalIsNotTakenForTheNextSend(t *testing.T) {
	for _, limit := range []int{1, 2} {
		ran := make(chan string, 2)
		s := newServer(t, refuseThenRepeat(ran))
		c := newClient(t, s, limit)
		m := &Message{ID: "a"}
		if r := c.sendMessage(m); r.Result != scatter.Refused {
			t.Fatalf("limit %d: first send: %v %s", limit, r.Result, r.Detail)
		}
		c.waitIdle()
		if r := c.sendMessage(m); r.Result != scatter.Answered {
			t.Errorf("limit %d: second send: %v %s, want the answer to it", limit, r.Result, r.Detail)
		}
		if n := s.connections(); n != 2 || len(ran) != 1 {
			t.Errorf("limit %d: ran %d times over %d connections, want once over 2", limit, len(ran), n)
		}
	}
}

// Guards against new connections for each send after a refusal: another idle connection, which
// has not carried the request, serves as well.
func TestResendPrefersAnIdleConnectionThatHasNotCarriedIt(t *testing.T) {
	var both sync.WaitGroup
	both.Add(2)
	s := newServer(t, respondWith(func(id string) string {
		if id == "refused" {
			return refusal(id)
		}
		both.Done()
		both.Wait()
		return response(id, "")
	}))
	c := newClient(t, s, 2)
	_, first := c.begin("x", nil, 0)
	_, second := c.begin("y", nil, 0)
	c.wait(first)
	c.wait(second)
	c.waitPool("both connections are idle", func(p *Pool) bool { return len(p.idle) == 2 })
	m := &Message{ID: "refused"}
	for range 2 {
		if r := c.sendMessage(m); r.Result != scatter.Refused {
			t.Fatalf("%v %s", r.Result, r.Detail)
		}
		c.waitPool("both connections are idle", func(p *Pool) bool { return len(p.idle) == 2 })
	}
	if n := s.connections(); n != 2 {
		t.Errorf("%d connections were opened, want the first 2 to be used", n)
	}
	if r := c.sendMessage(m); r.Result != scatter.Refused {
		t.Fatalf("%v %s", r.Result, r.Detail)
	}
	if n := s.connections(); n != 3 {
		t.Errorf("%d connections were opened, want a third for the third send", n)
	}
}

// Guards against a second copy of a refusal that ends a different request, which the upstream runs:
// it belongs to no request, and the response that follows does.
func TestRepeatedRefusalDoesNotEndAnotherRequest(t *testing.T) {
	ran := make(chan string, 2)
	s := newServer(t, refuseThenRepeat(ran))
	c := newClient(t, s, 1)
	if r := c.sendMessage(&Message{ID: "a"}); r.Result != scatter.Refused {
		t.Fatalf("%v %s", r.Result, r.Detail)
	}
	c.waitIdle()
	r := c.sendMessage(&Message{ID: "b"})
	if r.Result != scatter.Answered || string(r.Response.Header.Peek("Id")) != "b" || s.connections() != 1 || len(ran) != 1 {
		t.Errorf("%v %s over %d connections, ran %d times, want the answer", r.Result, r.Detail, s.connections(), len(ran))
	}
}

// Guards against reading on for as long as an upstream repeats an earlier response: one copy is
// discarded.
func TestResponseRepeatedWithoutEndIsGivenUp(t *testing.T) {
	s := newServer(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		first := readID(br)
		_, _ = c.Write([]byte(response(first, "")))
		if readID(br) == "" {
			return
		}
		for {
			if _, err := c.Write([]byte(response(first, ""))); err != nil {
				return
			}
		}
	})
	c := newClient(t, s, 1)
	if r := c.call("a"); r.Result != scatter.Answered {
		t.Fatalf("%v %s", r.Result, r.Detail)
	}
	c.waitIdle()
	if r := c.call("b"); r.Result != scatter.Lost {
		t.Errorf("%v %s, want a lost answer", r.Result, r.Detail)
	}
	c.waitAllClosed()
}

// Guards against a crash that is taken for a lost answer, so that the request that caused it is not
// recognised: the upstream sends a second copy of an earlier response and ends before it answers.
func TestEndAfterARepeatedResponseIsNoResponse(t *testing.T) {
	s := newServer(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		first := readID(br)
		_, _ = c.Write([]byte(response(first, "")))
		if readID(br) != "" {
			_, _ = c.Write([]byte(response(first, "")))
		}
	})
	c := newClient(t, s, 1)
	if r := c.call("a"); r.Result != scatter.Answered {
		t.Fatalf("%v %s", r.Result, r.Detail)
	}
	c.waitIdle()
	if r := c.call("b"); r.Result != scatter.Broken || r.ConnectedAt.IsZero() {
		t.Errorf("%v %s, connected at %v, want a broken connection", r.Result, r.Detail, r.ConnectedAt)
	}
}
