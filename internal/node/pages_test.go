package node

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"sycamorekeel.example/sycamorekeel/internal/bodylimit"
	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/catalogsync"
	"sycamorekeel.example/sycamorekeel/internal/pagecodec"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/responsecheck"
	"sycamorekeel.example/sycamorekeel/internal/routing"
	"sycamorekeel.example/sycamorekeel/internal/standin"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

// stubDecoder decodes each item as a configuration whose version is higher in each
// later era.
type stubDecoder struct{}

func (stubDecoder) Kind(string) catalog.Kind { return catalog.Configuration }

func (stubDecoder) Evacuated(string) string { return "" }

func (stubDecoder) Config(it catalog.Item) (*routing.Config, error) {
	return &routing.Config{Version: it.Era<<32 + it.Revision}, nil
}

func (stubDecoder) Upstream(catalog.Item) (catalog.Upstream, error) { return catalog.Upstream{}, nil }

// newTestSyncer returns a syncer that has applied the given documents in turn, the
// first at revision 1.
func newTestSyncer(texts ...string) *catalogSyncer {
	now := time.Now()
	s := &catalogSyncer{bodies: bodylimit.NewMemory(pagecodec.MaxPage, func() {}), maxPage: pagecodec.MaxPage, countBytes: func(traffic.Purpose, string, int) {},
		log: zap.NewNop(), met: newCatalogMetrics(prometheus.NewRegistry()),
		follower: catalogsync.New(now, catalogsync.Options{VM: "a", ChangeBound: time.Second, Decoder: stubDecoder{}, Random: rand.New(rand.NewPCG(1, 1))}),
	}
	for i, text := range texts {
		revision := uint64(i + 1)
		s.follower.State().Replace(now, catalog.Position{Revision: revision}, []catalog.Item{{Key: "c", Value: []byte(text), Revision: revision}})
	}
	return s
}

// updateState modifies the catalog of a syncer that may be serving peers, under its
// lock.
func (s *catalogSyncer) updateState(f func(*catalog.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.follower.State())
}

// documentText returns a document of some kilobytes. Versions differ in a few bytes.
func documentText(version int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d\n", version)
	random := rand.New(rand.NewPCG(7, 7))
	for range 500 {
		fmt.Fprintf(&b, "route %x to %x\n", random.Uint64(), random.Uint32())
	}
	return b.String()
}

// serveLoopback serves a handler on the loopback interface and returns its address.
func serveLoopback(t *testing.T, h fasthttp.RequestHandler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fasthttp.Server{Handler: h}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	return ln.Addr().String()
}

func pullFrom(address string, after uint64) catalogsync.Pull {
	return catalogsync.Pull{ID: 1, Address: address, After: catalog.Position{Revision: after}, StallTimeout: 10 * time.Second, Timeout: 10 * time.Second}
}

// A requester that holds a version which the server also has receives only the
// difference. One that holds no version, or one that the server never had, receives the
// whole document.
func TestPageIsPackedAgainstRequesterDocument(t *testing.T) {
	server := newTestSyncer(documentText(1), documentText(2), documentText(3))
	var sent atomic.Int64
	address := serveLoopback(t, func(ctx *fasthttp.RequestCtx) {
		server.servePeer(ctx)
		sent.Store(int64(len(ctx.Response.Body())))
	})
	for _, c := range []struct {
		name   string
		client *catalogSyncer
		after  uint64
		most   int64
	}{
		{"previous version", newTestSyncer(documentText(1), documentText(2)), 2, 300},
		{"two versions behind", newTestSyncer(documentText(1)), 1, 300},
		{"nothing", newTestSyncer(), 0, int64(len(documentText(3)))},
		{"version that the server never had", newTestSyncer("other"), 1, int64(len(documentText(3)))},
	} {
		page, err := c.client.fetchCatalog(pullFrom(address, c.after))
		if err != nil || len(page.Items) != 1 || string(page.Items[0].Value) != documentText(3) {
			t.Errorf("%s: %v", c.name, err)
		}
		if got := sent.Load(); got > c.most {
			t.Errorf("%s: %d bytes", c.name, got)
		}
	}
}

// During a rolling upgrade some VMs run the previous release. It sends requests without
// a base and must receive unpacked pages, and its own unpacked pages must be accepted.
func TestPreviousReleaseCompatibility(t *testing.T) {
	server := newTestSyncer(documentText(1), documentText(2))
	address := serveLoopback(t, server.servePeer)
	status, body, err := fasthttp.Get(nil, "http://"+address+catalogPath+"?after=1")
	page := &pb.CatalogPage{}
	if err != nil || status != fasthttp.StatusOK || proto.Unmarshal(body, page) != nil || len(page.Items) != 1 {
		t.Errorf("request from the previous release: status %d, %v, %v", status, err, page)
	}

	plain, err := proto.Marshal(page)
	if err != nil {
		t.Fatal(err)
	}
	old := serveLoopback(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBody(plain) })
	got, err := newTestSyncer(documentText(1)).fetchCatalog(pullFrom(old, 1))
	if err != nil || !proto.Equal(got, page) {
		t.Errorf("page from the previous release: %v", err)
	}
}

// Guards against a VM that never advances past a version although its peers have later
// ones: after a page that cannot be unpacked against the VM's document, a request with
// the same base would return the same page.
func TestUnreadablePageIsRequestedAgainWithoutBase(t *testing.T) {
	server := newTestSyncer(documentText(1), documentText(2))
	bases := make(chan string, 2)
	address := serveLoopback(t, func(ctx *fasthttp.RequestCtx) {
		base := string(ctx.QueryArgs().Peek(argBase))
		bases <- base
		server.servePeer(ctx)
		if base != "" {
			ctx.SetBody(ctx.Response.Body()[:10])
		}
	})
	client := newTestSyncer(documentText(1))
	if _, err := client.fetchCatalog(pullFrom(address, 1)); !trace.IsBadParameter(err) {
		t.Fatalf("truncated page: got error %v, want trace.BadParameter", err)
	}
	page, err := client.fetchCatalog(pullFrom(address, 1))
	if err != nil || len(page.Items) != 1 {
		t.Fatalf("second request: %v", err)
	}
	if first, second := <-bases, <-bases; first == "" || second != "" {
		t.Errorf("bases in requests: %q, %q", first, second)
	}
}

// Guards against a cached page of the store's previous era that is served for the same
// revision of the next era.
func TestCachedPageOfPreviousEraIsNotServed(t *testing.T) {
	server := newTestSyncer(documentText(1), documentText(2))
	address := serveLoopback(t, server.servePeer)
	fetchText := func(after catalog.Position) string {
		page, err := newTestSyncer().fetchCatalog(catalogsync.Pull{ID: 1, Address: address, After: after, StallTimeout: 10 * time.Second, Timeout: 10 * time.Second})
		if err != nil || len(page.Items) != 1 {
			t.Fatalf("%v: %v", after, err)
		}
		return string(page.Items[0].Value)
	}
	if got := fetchText(catalog.Position{}); got != documentText(2) {
		t.Fatalf("got %.12q, want version 2", got)
	}
	for i, version := range []int{3, 4} {
		revision := uint64(i + 1)
		server.updateState(func(s *catalog.State) {
			s.Replace(time.Now(), catalog.Position{Era: 1, Revision: revision},
				[]catalog.Item{{Key: "c", Value: []byte(documentText(version)), Era: 1, Revision: revision}})
		})
		if got := fetchText(catalog.Position{}); got != documentText(version) {
			t.Errorf("revision %d of the next era: got %.12q, want version %d", revision, got, version)
		}
	}
}

// Guards against a cached page of a position that a peer made up, which is served for
// the same position after the store has reached it.
func TestCachedPageOfDisprovedPositionIsNotServed(t *testing.T) {
	server := newTestSyncer(documentText(1), documentText(2))
	server.announce = func(catalog.Position, time.Time, *catalogsync.Announce) {}
	address := serveLoopback(t, server.servePeer)
	pull := pullFrom(address, 0)
	if _, err := newTestSyncer().fetchCatalog(pull); err != nil {
		t.Fatal(err)
	}
	server.updateState(func(s *catalog.State) { s.Discard(time.Now()) })
	server.execute([]catalogsync.Action{catalogsync.Disproved{At: catalog.Position{Revision: 2}}}, catalog.Position{}, time.Time{})
	server.updateState(func(s *catalog.State) {
		s.Replace(time.Now(), catalog.Position{Revision: 2}, []catalog.Item{{Key: "c", Value: []byte(documentText(3)), Revision: 2}})
	})
	page, err := newTestSyncer().fetchCatalog(pull)
	if err != nil || len(page.Items) != 1 || string(page.Items[0].Value) != documentText(3) {
		t.Errorf("%v, %v", page.GetItems(), err)
	}
}

// Requests with an invalid position or path are rejected with the status of their row;
// an invalid base is ignored.
func TestInvalidRequests(t *testing.T) {
	address := serveLoopback(t, newTestSyncer(documentText(1)).servePeer)
	for query, want := range map[string]int{
		catalogPath:                               fasthttp.StatusBadRequest,
		catalogPath + "?after=-1&packed=1":        fasthttp.StatusBadRequest,
		catalogPath + "?after=0&packed=1&base=zz": fasthttp.StatusOK,
		"/other": fasthttp.StatusNotFound,
	} {
		status, _, err := fasthttp.Get(nil, "http://"+address+query)
		if err != nil || status != want {
			t.Errorf("%s: status %d, %v", query, status, err)
		}
	}
}

// Guards against a peer whose page does not end or declares a length that never arrives.
func TestEndlessPageIsGivenUp(t *testing.T) {
	for name, head := range map[string]string{
		"no framing":      "HTTP/1.1 200 OK\r\n\r\n",
		"declared length": "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n",
		"head":            "HTTP/1.1 200 OK\r\nA: ",
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			defer nc.Close()
			_, err = nc.Write([]byte(head))
			for piece := bytes.Repeat([]byte("x"), 1<<10); err == nil; {
				_, err = nc.Write(piece)
			}
		}()
		s := &catalogSyncer{bodies: bodylimit.NewMemory(1<<20, func() {}), maxPage: 1 << 20, countBytes: func(traffic.Purpose, string, int) {}}
		req := newPeerRequest(ln.Addr().String(), catalogPath)
		_, err = s.fetch(req, traffic.Page, catalogsync.Pull{Address: ln.Addr().String(), StallTimeout: time.Second, Timeout: 10 * time.Second}, catalog.Document{})
		if err == nil {
			t.Errorf("%s: no error", name)
		}
		<-ended
		if s.bodies.Used() != 0 {
			t.Errorf("%s: %d bytes are still held", name, s.bodies.Used())
		}
		fasthttp.ReleaseRequest(req)
		ln.Close()
	}
}

// Guards against a page that is taken from a malformed response of a peer: an empty body is a page
// without changes.
func TestMalformedPageIsRefused(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":      "HTTP/1.1 000 Zero\r\nContent-Length: 0\r\n\r\n",
		"version 9.9":     "HTTP/9.9 200 OK\r\nContent-Length: 0\r\n\r\n",
		"blank in a name": "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
	} {
		peer, err := standin.StartRaw(head)
		if err != nil {
			t.Fatal(err)
		}
		s := &catalogSyncer{
			bodies: bodylimit.NewMemory(1<<20, func() {}), maxPage: 1 << 20, countBytes: func(traffic.Purpose, string, int) {},
			met: newCatalogMetrics(prometheus.NewRegistry()),
		}
		req := newPeerRequest(peer.Address(), catalogPath)
		page, err := s.fetch(req, traffic.Page, catalogsync.Pull{Address: peer.Address(), StallTimeout: 10 * time.Second, Timeout: 10 * time.Second}, catalog.Document{})
		var malformed *responsecheck.Error
		if !errors.As(err, &malformed) {
			t.Errorf("%s: page %v, %v, want a malformed response", name, page, err)
		}
		fasthttp.ReleaseRequest(req)
		peer.Close()
	}
}

// Guards against a page without end in a part that TestEndlessPageIsGivenUp does not reach.
func TestEveryEndlessPartOfAPageIsGivenUp(t *testing.T) {
	for part, text := range standin.EndlessAnswers {
		peer, err := standin.StartEndless(text[0], text[1])
		if err != nil {
			t.Fatal(err)
		}
		s := &catalogSyncer{bodies: bodylimit.NewMemory(1<<20, func() {}), maxPage: 1 << 20, countBytes: func(traffic.Purpose, string, int) {}}
		req := newPeerRequest(peer.Address(), catalogPath)
		page, err := s.fetch(req, traffic.Page, catalogsync.Pull{Address: peer.Address(), StallTimeout: time.Minute, Timeout: time.Minute}, catalog.Document{})
		if err == nil {
			t.Errorf("%s: page %v", part, page)
		}
		peer.WaitEnded()
		if s.bodies.Used() != 0 {
			t.Errorf("%s: %d bytes are still held", part, s.bodies.Used())
		}
		fasthttp.ReleaseRequest(req)
		peer.Close()
	}
}

// Guards against a page that is cut and reads as a shorter one, in its head or in its body, packed or not:
// its VM would be at a position without the changes up to it.
func TestCutPageIsNoPage(t *testing.T) {
	server := newRegistrationSyncer(1, "")
	server.replace(5, map[string]string{"u1": "x", "u2": "x", "u3": "x"})
	plain, err := server.encodePlainPage(pageKey{})
	if err != nil {
		t.Fatal(err)
	}
	packed, err := server.encodePage(pageKey{})
	if err != nil {
		t.Fatal(err)
	}
	for name, answer := range map[string]string{
		"plain":               fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(plain.body), plain.body),
		"packed":              fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Encoding: zstd\r\nContent-Length: %d\r\n\r\n%s", len(packed.body), packed.body),
		"plain in chunks":     fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(plain.body), plain.body),
		"plain, until close":  fmt.Sprintf("HTTP/1.1 200 OK\r\n\r\n%s", plain.body),
		"packed, until close": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Encoding: zstd\r\n\r\n%s", packed.body),
	} {
		whole := len(answer)
		if strings.HasSuffix(name, "until close") {
			// Such a page has no end of its own.
			whole++
		}
		for cut := 0; cut < whole; cut++ {
			text := answer[:cut]
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				defer nc.Close()
				var req fasthttp.Request
				_ = req.Read(bufio.NewReader(nc)) // the client always sends a whole request
				_, _ = nc.Write([]byte(text))
			}()
			if page, err := newRegistrationSyncer(1, "").fetchCatalog(pullFrom(ln.Addr().String(), 0)); err == nil {
				t.Errorf("%s, cut after %d of %d bytes: a page of %d items", name, cut, len(answer), len(page.Items))
			}
			ln.Close()
		}
	}
}
