package upstream

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

const fuzzMaxReply = 1 << 16

// Guards against an unchecked header or length in a reply of arbitrary bytes: the
// daemon must not panic, exhaust its memory, or take malformed bytes for a valid
// reply or for proof that the request did not run.
func FuzzReply(f *testing.F) {
	requested := &pb.Snapshot{Generation: 1, Version: 7}
	for _, seed := range replySeeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		resp := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(resp)
		if err := resp.ReadLimitBody(bufio.NewReader(bytes.NewReader(raw)), fuzzMaxReply); err != nil {
			if out := errorOutcome(err); out.Result == pb.Result_OK || out.Body != nil {
				t.Fatalf("unreadable reply produced outcome %v", out)
			}
			return
		}
		checkOutcome(t, resp, replyOutcome(resp, requested))
	})
}

// checkOutcome checks that the outcome is justified by the reply.
func checkOutcome(t *testing.T, resp *fasthttp.Response, out Outcome) {
	switch out.Result {
	case pb.Result_OK:
		if out.Snapshot == nil || resp.StatusCode() != fasthttp.StatusOK || len(out.Body) > fuzzMaxReply {
			t.Fatalf("invalid reply accepted: %v", out)
		}
		parsed, err := ParseSnapshot(string(resp.Header.Peek(HeaderSnapshot)))
		if err != nil || parsed.Generation != out.Snapshot.Generation || parsed.Version != out.Snapshot.Version {
			t.Fatalf("snapshot %v, header says %q", out.Snapshot, resp.Header.Peek(HeaderSnapshot))
		}
	case pb.Result_UPSTREAM_ERROR, pb.Result_UNKNOWN:
	case pb.Result_SHED, pb.Result_UPSTREAM_LEAVING, pb.Result_NO_SNAPSHOT, pb.Result_TOO_LATE, pb.Result_CANCELLED:
		if len(resp.Header.Peek(HeaderNotRun)) == 0 {
			t.Fatalf("result says not run, but the reply lacks X-Not-Run: %v", out)
		}
	default:
		t.Fatalf("unexpected result %v", out.Result)
	}
	if out.Result != pb.Result_OK && out.Body != nil {
		t.Fatalf("failure outcome with a body: %v", out)
	}
}

var replySeeds = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Snapshot: 1/7\r\n\r\n{}",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Snapshot: 01/7\r\n\r\n{}",
	"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX-Snapshot: 1/7\r\n\r\n{}",
	"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\nX-Snapshot: 1/7\r\n\r\n{}",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Snapshot: 1/7\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: shed\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: tired\r\nX-Draining: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Snapshot: 1/\r\n\r\n",
}
