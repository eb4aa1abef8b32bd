package node

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/catalogsync"
	"sycamorekeel.example/sycamorekeel/internal/pagecodec"
	"sycamorekeel.example/sycamorekeel/internal/routing"
)

// registrationDecoder decodes each item as an upstream, but for values that begin with its word.
type registrationDecoder struct{ unread string }

func (registrationDecoder) Kind(string) catalog.Kind { return catalog.Registration }

func (registrationDecoder) Evacuated(string) string { return "" }

func (registrationDecoder) Config(catalog.Item) (*routing.Config, error) {
	return nil, errors.New("no configuration")
}

func (d registrationDecoder) Upstream(it catalog.Item) (catalog.Upstream, error) {
	if d.unread != "" && strings.HasPrefix(string(it.Value), d.unread) {
		return catalog.Upstream{}, errors.New("not read")
	}
	return catalog.Upstream{ID: it.Key, Service: "s"}, nil
}

// newRegistrationSyncer returns a syncer of a release that does not read values which begin with a word.
func newRegistrationSyncer(reads uint64, unread string) *catalogSyncer {
	s := newTestSyncer()
	s.reads = reads
	s.announce = func(catalog.Position, time.Time, *catalogsync.Announce) {}
	s.applyView = func(*catalog.View) {}
	s.follower = catalogsync.New(time.Now(), catalogsync.Options{
		VM: "a", ChangeBound: time.Second, Decoder: registrationDecoder{unread}, Random: rand.New(rand.NewPCG(1, 1)),
	})
	return s
}

func (s *catalogSyncer) replace(revision uint64, values map[string]string) {
	s.updateState(func(state *catalog.State) {
		var items []catalog.Item
		for key, value := range values {
			items = append(items, catalog.Item{Key: key, Value: []byte(value), Revision: revision})
		}
		state.Replace(time.Now(), catalog.Position{Revision: revision}, items)
	})
}

// Guards against pages that a VM of a later release takes for complete, although the VM that sent them
// does not read all entries; and against calls to the store between VMs of one release.
func TestPagesBetweenReleases(t *testing.T) {
	server := newRegistrationSyncer(1, "new")
	server.replace(5, map[string]string{"u1": "x", "u2": "x"})
	server.updateState(func(s *catalog.State) {
		s.Apply(time.Now(), catalog.Position{Revision: 5}, catalog.Position{Revision: 7},
			[]catalog.Item{{Key: "u2", Value: []byte("new"), Revision: 6}, {Key: "u3", Value: []byte("new"), Revision: 7}})
	})
	address := serveLoopback(t, server.servePeer)
	for _, c := range []struct {
		reads, after uint64
		partial      bool
	}{{1, 5, false}, {1, 0, false}, {2, 5, true}, {2, 0, true}, {2, 7, false}} {
		client := newRegistrationSyncer(c.reads, "")
		message, err := client.fetchCatalog(pullFrom(address, c.after))
		if err != nil {
			t.Fatal(err)
		}
		page := decodePage(message)
		if page.Partial != c.partial {
			t.Errorf("decoder %d after %d: partial %v", c.reads, c.after, page.Partial)
		}
		for _, it := range page.Items {
			if (it.Key == "u2" && it.Revision == 6) != errors.Is(it.Fault, catalog.ErrWithheld) || len(it.Value) > 1 {
				t.Errorf("decoder %d after %d: %+v", c.reads, c.after, it)
			}
		}
	}
}

// Guards against a page of any size that is unpacked, or pulled again and again, by a VM whose memory it
// exceeds.
func TestPageBeyondTheLimitIsTooLarge(t *testing.T) {
	values := map[string]string{}
	for i := range 4000 {
		values[fmt.Sprint("u", i)] = strings.Repeat("x", 500)
	}
	server := newRegistrationSyncer(1, "")
	server.replace(5, values)
	address := serveLoopback(t, server.servePeer)
	client := newRegistrationSyncer(1, "")
	client.codec.MaxPage = 1 << 20
	if _, err := client.fetchCatalog(pullFrom(address, 0)); !isTooLarge(err) {
		t.Errorf("a page that is too large once unpacked: %v", err)
	}
	client.codec.MaxPage, client.maxPage = 0, 100
	if _, err := client.fetchCatalog(pullFrom(address, 0)); !isTooLarge(err) {
		t.Errorf("a page that is too large as it is received: %v", err)
	}
	if client.bodies.Used() != 0 {
		t.Errorf("%d bytes are still held", client.bodies.Used())
	}
	tiny := pagecodec.Codec{MaxPage: 64 << 10}
	if _, err := tiny.Decode([]byte(strings.Repeat("\x22\x00", 10_000))); !isTooLarge(err) {
		t.Errorf("a page of many empty items: %v", err)
	}
}

// Guards against memory that follows the number of peers which ask for pages at different positions, or
// read them slowly.
func TestPagesForPeersAreBounded(t *testing.T) {
	const pages = 40
	server := newRegistrationSyncer(1, "")
	server.updateState(func(s *catalog.State) {
		random := rand.NewChaCha8([32]byte{})
		var items []catalog.Item
		for i := range uint64(100) {
			value := make([]byte, 1000)
			_, _ = random.Read(value)
			items = append(items, catalog.Item{Key: fmt.Sprint("u", i), Value: value, Revision: i + 1})
		}
		s.Replace(time.Now(), catalog.Position{Revision: 1}, nil)
		s.Apply(time.Now(), catalog.Position{Revision: 1}, catalog.Position{Revision: 100}, items)
	})
	server.pages.maxBytes = 256 << 10
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	http := &fasthttp.Server{Handler: server.servePeer}
	go func() { _ = http.Serve(ln) }()
	t.Cleanup(func() { _ = http.Shutdown() })
	var conns []net.Conn
	for i := range pages {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, nc)
		// A small buffer keeps the page with the server until it is read.
		if err := nc.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Fprintf(nc, "GET /catalog?after=%d&packed=1&reads=1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", i+2); err != nil {
			t.Fatal(err)
		}
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for _, nc := range conns {
		group.Go(func() {
			defer nc.Close()
			var resp fasthttp.Response
			if err := nc.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
				t.Error(err)
			}
			if err := resp.Read(bufio.NewReader(nc)); err != nil {
				t.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[resp.StatusCode()]++
			if used := server.pages.bytes(); used > server.pages.maxBytes {
				t.Errorf("%d bytes of pages", used)
			}
		})
	}
	group.Wait()
	if statuses[fasthttp.StatusOK] == 0 || statuses[fasthttp.StatusOK]+statuses[fasthttp.StatusServiceUnavailable] != pages {
		t.Errorf("answers by status: %v", statuses)
	}
	if refused := testutil.ToFloat64(server.met.refusedPages); int(refused) != statuses[fasthttp.StatusServiceUnavailable] {
		t.Errorf("%v refused pages are counted, %d answers", refused, statuses[fasthttp.StatusServiceUnavailable])
	}
	server.pages.reset()
	for end := time.Now().Add(10 * time.Second); server.pages.bytes() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes of pages are still held", server.pages.bytes())
		}
	}
}

// Guards against a page cache that refuses the only page, forgets what is being sent, or sends a page of
// a former position.
func TestPageCache(t *testing.T) {
	c := &pageCache{maxBytes: 100}
	at := func(r uint64) catalog.Position { return catalog.Position{Revision: r} }
	big := c.put(at(1), pageKey{}, make([]byte, 150))
	if big == nil || c.put(at(1), pageKey{base: 1}, make([]byte, 1)) != nil {
		t.Fatal("a page beyond the limit is sent alone, and no other beside it")
	}
	c.release(big)
	small := c.put(at(2), pageKey{}, make([]byte, 60))
	if small == nil || c.get(at(2), pageKey{}) != small || c.get(at(1), pageKey{}) != nil {
		t.Fatal("the page of the position is not cached")
	}
	c.release(small)
	c.release(small)
	if c.bytes() != 60 {
		t.Errorf("%d bytes, want those of the cached page", c.bytes())
	}
	next := c.put(at(2), pageKey{base: 2}, make([]byte, 60))
	if next == nil || c.bytes() != 60 {
		t.Errorf("the cached page does not make room: %d bytes", c.bytes())
	}
	late := c.put(at(1), pageKey{}, make([]byte, 10))
	if late == nil || c.get(at(1), pageKey{}) != nil {
		t.Error("a page of a former position is cached")
	}
	c.release(late)
	c.release(next)
	c.reset()
	if c.bytes() != 0 {
		t.Errorf("%d bytes are left", c.bytes())
	}
}

// Guards against a log with a line for each of any number of rejected items.
func TestRejectedItemsAreLoggedAtALimitedRate(t *testing.T) {
	var r rejections
	now := time.Unix(1000, 0)
	lines, suppressed := 0, 0
	for range 100 {
		logged, more := r.add(now, make([]catalog.Rejected, 50), 1000)
		lines += len(logged)
		suppressed += more
		now = now.Add(rejectionWindow / 10)
	}
	if most := 10 * maxRejectionLines; lines > most || lines == 0 || suppressed < 90*1000 {
		t.Errorf("%d lines, %d suppressed", lines, suppressed)
	}
}
