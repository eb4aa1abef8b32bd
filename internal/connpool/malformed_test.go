package connpool

import (
	"bufio"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/responsecheck"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// malformedObserver counts responses with an invalid status. healthPath is the path of health checks.
type malformedObserver struct {
	nopObserver
	healthPath string
	count      *atomic.Int64
}

func (o malformedObserver) HealthPath(*catalog.Upstream) string { return o.healthPath }

func (o malformedObserver) ResponseMalformed(broken responsecheck.Rule) {
	if broken == responsecheck.Status {
		o.count.Add(1)
	}
}

// statusZero returns a response with status 000 and an id.
func statusZero(id string) string {
	return strings.Replace(response(id, ""), "200 OK", "000 Zero", 1)
}

// Guards against a malformed response that counts as a closed connection, which says that the upstream
// may have crashed or has not run the request, and against one that is not counted.
func TestMalformedResponseIsLostAndCounted(t *testing.T) {
	s := newServer(t, respondWith(statusZero))
	c := newClient(t, s, 1)
	observer := malformedObserver{count: &atomic.Int64{}}
	c.pools.observer = observer
	if r := c.call("a"); r.Result != scatter.Lost || !strings.Contains(r.Detail, "malformed response: status 000") {
		t.Errorf("%v %s, want a lost answer with its cause", r.Result, r.Detail)
	}
	c.waitAllClosed()
	if n := observer.count.Load(); n != 1 {
		t.Errorf("counted %d times", n)
	}
}

// Guards against a malformed second copy of a response, and against a malformed response behind a
// second copy.
func TestMalformedResponseBesideASecondCopyIsLost(t *testing.T) {
	for name, repeat := range map[string]func(first, next string) string{
		"in the copy":     func(first, next string) string { return statusZero(first) + response(next, "") },
		"behind the copy": func(first, next string) string { return response(first, "") + statusZero(next) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, func(_ int, c net.Conn) {
				br := bufio.NewReader(c)
				first := readID(br)
				_, _ = c.Write([]byte(response(first, "")))
				_, _ = c.Write([]byte(repeat(first, readID(br))))
				readID(br)
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
		})
	}
}

// Guards against a sound response that is taken for a malformed one because of the bytes behind it; the
// connection must not be used again.
func TestMalformedBytesBehindAResponseEndTheConnection(t *testing.T) {
	s := newServer(t, respondWith(func(id string) string { return response(id, "") + statusZero(id) }))
	c := newClient(t, s, 1)
	for _, id := range []string{"a", "b"} {
		if r := c.call(id); r.Result != scatter.Answered {
			t.Errorf("%v %s, want the answer", r.Result, r.Detail)
		}
		c.waitAllClosed()
	}
}

// Guards against a health check that is passed by a malformed response.
func TestMalformedHealthResponseBarsTheUpstream(t *testing.T) {
	s := newServer(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		for {
			var req fasthttp.Request
			if req.Read(br) != nil {
				return
			}
			if _, err := c.Write([]byte(statusZero("u"))); err != nil {
				return
			}
		}
	})
	c := newClient(t, s, 1)
	observer := malformedObserver{healthPath: "/health", count: &atomic.Int64{}}
	c.pools.observer = observer
	if r := c.call("a"); r.Result != scatter.Barred || !strings.Contains(r.Detail, "malformed response") {
		t.Errorf("%v %s, want the upstream to be barred", r.Result, r.Detail)
	}
	c.waitAllClosed()
	if h, err := c.pools.dialHealth(c.up, "/health"); err == nil {
		t.Errorf("an own check takes it for %+v", h)
	}
	if n := observer.count.Load(); n != 2 {
		t.Errorf("counted %d times", n)
	}
}
