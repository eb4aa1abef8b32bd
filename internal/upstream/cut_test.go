package upstream_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

// cutProxy forwards requests to an upstream, and of its answers to those after the first whole ones only as
// many bytes as asked, after which it closes the connection. It returns its address, and the size of the
// last answer.
func cutProxy(t *testing.T, upstream string, whole, bytesSent int) (address string, size func() int) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	last := make(chan int, 10)
	serve := func(c net.Conn) {
		defer c.Close()
		up, err := net.Dial("tcp", upstream)
		if err != nil {
			return
		}
		defer up.Close()
		in := bufio.NewReader(c)
		var answer bytes.Buffer
		out := bufio.NewReader(io.TeeReader(up, &answer))
		for n := 0; ; n++ {
			var req fasthttp.Request
			if req.Read(in) != nil {
				return
			}
			w := bufio.NewWriter(up)
			if req.Write(w) != nil || w.Flush() != nil {
				return
			}
			answer.Reset()
			var resp fasthttp.Response
			if resp.Read(out) != nil {
				return
			}
			last <- answer.Len()
			if n >= whole {
				_, _ = c.Write(answer.Bytes()[:min(bytesSent, answer.Len())]) // the client may have left
				return
			}
			if _, err := c.Write(answer.Bytes()); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String(), func() int { return <-last }
}

// Guards against an upstream that stops in the middle of its answer and whose answer counts as whole, or as a
// promise that the request has not run; on fresh and on kept connections.
func TestAnswerThatStopsMidwayIsUnknown(t *testing.T) {
	for name, behaviour := range map[string]standin.Behaviour{"answer": {Hits: 1}, "refusal": {Draining: true}} {
		for _, kept := range []int{0, 1} {
			u := start(t, behaviour)
			for cut, size := 0, 1; cut < size; cut++ {
				address, last := cutProxy(t, u.Address(), kept, cut)
				c := client(t, address, 1)
				for range kept {
					if out := c.Do(time.Now(), call("whole", testTimeout)); out.Result == pb.Result_UNKNOWN {
						t.Fatalf("%s: whole answer: %v", name, out.Detail)
					}
					last()
				}
				out := c.Do(time.Now(), call("cut", testTimeout))
				size = last()
				if out.Result != pb.Result_UNKNOWN {
					t.Errorf("%s, kept %d, cut after %d of %d bytes: %v %s", name, kept, cut, size, out.Result, out.Detail)
				}
			}
		}
	}
}
