package node

import (
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

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/follow"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/routing"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

// anyConfig decodes each item as a configuration, whose version rises from era to era.
type anyConfig struct{}

func (anyConfig) Kind(string) catalog.Kind { return catalog.Configuration }

func (anyConfig) Evacuated(string) string { return "" }

func (anyConfig) Config(it catalog.Item) (*routing.Config, error) {
	return &routing.Config{Version: it.Era<<32 + it.Revision}, nil
}

func (anyConfig) Upstream(catalog.Item) (catalog.Upstream, error) { return catalog.Upstream{}, nil }

// readerAt is a reader that holds each of some texts in turn, from revision 1 on.
func readerAt(texts ...string) *reader {
	now := time.Now()
	r := &reader{exchanged: func(traffic.Purpose, string, int) {},
		log: zap.NewNop(), met: newStoreMetrics(prometheus.NewRegistry()),
		follower: follow.New(now, follow.Options{VM: "a", Bound: time.Second, Decoder: anyConfig{}, Random: rand.New(rand.NewPCG(1, 1))}),
	}
	for i, text := range texts {
		revision := uint64(i + 1)
		r.follower.State().Replace(now, catalog.Position{Revision: revision}, []catalog.Item{{Key: "c", Value: []byte(text), Revision: revision}})
	}
	return r
}

// change changes what a reader that serves peers knows.
func (r *reader) change(f func(*catalog.State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.follower.State())
}

// text is a document of some kilobytes; versions differ in a few bytes.
func text(version int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d\n", version)
	random := rand.New(rand.NewPCG(7, 7))
	for range 500 {
		fmt.Fprintf(&b, "route %x to %x\n", random.Uint64(), random.Uint32())
	}
	return b.String()
}

// listen serves a handler on loopback and gives its address.
func listen(t *testing.T, h fasthttp.RequestHandler) string {
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

func pullOf(address string, after uint64) follow.Pull {
	return follow.Pull{ID: 1, Address: address, After: catalog.Position{Revision: after}, Stall: 10 * time.Second, Timeout: 10 * time.Second}
}

// A VM that holds a version which its peer has had is sent what changed; one that holds
// nothing, or a version that the peer never had, is sent the whole.
func TestAPageIsPackedAgainstWhatTheAskerHolds(t *testing.T) {
	giver := readerAt(text(1), text(2), text(3))
	var sent atomic.Int64
	address := listen(t, func(ctx *fasthttp.RequestCtx) {
		giver.serve(ctx)
		sent.Store(int64(len(ctx.Response.Body())))
	})
	for _, c := range []struct {
		name  string
		asker *reader
		after uint64
		most  int64
	}{
		{"a version before", readerAt(text(1), text(2)), 2, 300},
		{"two versions before", readerAt(text(1)), 1, 300},
		{"nothing", readerAt(), 0, int64(len(text(3)))},
		{"a version that the peer never had", readerAt("other"), 1, int64(len(text(3)))},
	} {
		page, err := c.asker.fetchCatalog(pullOf(address, c.after))
		if err != nil || len(page.Items) != 1 || string(page.Items[0].Value) != text(3) {
			t.Errorf("%s: %v", c.name, err)
		}
		if got := sent.Load(); got > c.most {
			t.Errorf("%s: %d bytes", c.name, got)
		}
	}
}

// While VMs are replaced one after the other, some run the release before: it asks without
// naming a base and is answered plainly, and its own plain answers are read.
func TestVMsOfTheReleaseBeforeAreUnderstood(t *testing.T) {
	giver := readerAt(text(1), text(2))
	address := listen(t, giver.serve)
	status, body, err := fasthttp.Get(nil, "http://"+address+pullPath+"?after=1")
	page := &pb.CatalogPage{}
	if err != nil || status != fasthttp.StatusOK || proto.Unmarshal(body, page) != nil || len(page.Items) != 1 {
		t.Errorf("an old asker: status %d, %v, %v", status, err, page)
	}

	plain, err := proto.Marshal(page)
	if err != nil {
		t.Fatal(err)
	}
	old := listen(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBody(plain) })
	got, err := readerAt(text(1)).fetchCatalog(pullOf(old, 1))
	if err != nil || !proto.Equal(got, page) {
		t.Errorf("an old giver: %v", err)
	}
}

// Symptom: a VM never gets past a version, though its peers have later ones.
// Sequence: a page arrives that cannot be unpacked against what the VM holds.
// Cause: it would name the same base again and get the same page.
func TestAfterAnUnreadablePageTheWholeIsAskedFor(t *testing.T) {
	giver := readerAt(text(1), text(2))
	bases := make(chan string, 2)
	address := listen(t, func(ctx *fasthttp.RequestCtx) {
		base := string(ctx.QueryArgs().Peek(argBase))
		bases <- base
		giver.serve(ctx)
		if base != "" {
			ctx.SetBody(ctx.Response.Body()[:10])
		}
	})
	asker := readerAt(text(1))
	if _, err := asker.fetchCatalog(pullOf(address, 1)); !trace.IsBadParameter(err) {
		t.Fatalf("a page cut short: %v", err)
	}
	page, err := asker.fetchCatalog(pullOf(address, 1))
	if err != nil || len(page.Items) != 1 {
		t.Fatalf("the second: %v", err)
	}
	if first, second := <-bases, <-bases; first == "" || second != "" {
		t.Errorf("bases asked with: %q, %q", first, second)
	}
}

// Guards against a page of the store's former history, kept packed, that is given to a peer
// under the same revision of the next era.
func TestAPackedPageOfAnEraThatIsOverIsNotGiven(t *testing.T) {
	giver := readerAt(text(1), text(2))
	address := listen(t, giver.serve)
	ask := func(after catalog.Position) string {
		page, err := readerAt().fetchCatalog(follow.Pull{ID: 1, Address: address, After: after, Stall: 10 * time.Second, Timeout: 10 * time.Second})
		if err != nil || len(page.Items) != 1 {
			t.Fatalf("%v: %v", after, err)
		}
		return string(page.Items[0].Value)
	}
	if got := ask(catalog.Position{}); got != text(2) {
		t.Fatal("not the newest version")
	}
	for i, version := range []int{3, 4} {
		revision := uint64(i + 1)
		giver.change(func(s *catalog.State) {
			s.Replace(time.Now(), catalog.Position{Era: 1, Revision: revision},
				[]catalog.Item{{Key: "c", Value: []byte(text(version)), Era: 1, Revision: revision}})
		})
		if got := ask(catalog.Position{}); got != text(version) {
			t.Errorf("at revision %d of the next era: %.12q, want version %d", revision, got, version)
		}
	}
}

// Guards against a page of what a peer had made up, kept packed, that is given under the same
// position once the store has come there.
func TestAPackedPageOfWhatWasDisprovedIsNotGiven(t *testing.T) {
	giver := readerAt(text(1), text(2))
	giver.announce = func(catalog.Position, time.Time, *follow.Announce) {}
	address := listen(t, giver.serve)
	pull := pullOf(address, 0)
	if _, err := readerAt().fetchCatalog(pull); err != nil {
		t.Fatal(err)
	}
	giver.change(func(s *catalog.State) { s.Discard(time.Now()) })
	giver.do([]follow.Action{follow.Disproved{At: catalog.Position{Revision: 2}}}, catalog.Position{}, time.Time{})
	giver.change(func(s *catalog.State) {
		s.Replace(time.Now(), catalog.Position{Revision: 2}, []catalog.Item{{Key: "c", Value: []byte(text(3)), Revision: 2}})
	})
	page, err := readerAt().fetchCatalog(pull)
	if err != nil || len(page.Items) != 1 || string(page.Items[0].Value) != text(3) {
		t.Errorf("%v, %v", page.GetItems(), err)
	}
}

// Each row is a question that is told to be wrong, and what it is answered.
func TestQuestionsThatAreWrong(t *testing.T) {
	address := listen(t, readerAt(text(1)).serve)
	for query, want := range map[string]int{
		pullPath:                               fasthttp.StatusBadRequest,
		pullPath + "?after=-1&packed=1":        fasthttp.StatusBadRequest,
		pullPath + "?after=0&packed=1&base=zz": fasthttp.StatusOK,
		"/other":                               fasthttp.StatusNotFound,
	} {
		status, _, err := fasthttp.Get(nil, "http://"+address+query)
		if err != nil || status != want {
			t.Errorf("%s: status %d, %v", query, status, err)
		}
	}
}
