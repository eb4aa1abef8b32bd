package node

import (
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"
	"google.golang.org/protobuf/proto"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/follow"
	"sycamorekeel.example/sycamorekeel/internal/pagepack"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

const (
	// pullPath is where a VM gives its peers what it knows.
	pullPath = "/catalog"
	// membersPath is where a VM gives its peers what it holds of the fleet.
	membersPath = "/members"
	// argAfter is the revision up to which the asker knows everything, argEra its era; one
	// of an older release does not send the era.
	argAfter = "after"
	argEra   = "era"
	// argPacked says that the asker can unpack pages; one of an older release does not
	// send it and gets them plain.
	argPacked = "packed"
	// argBase names by its hash, in hexadecimal, the configuration that the asker holds.
	argBase = "base"
	// packedEncoding marks a packed page.
	packedEncoding = "zstd"
	// maxPacked bounds the pages kept packed: askers of one revision hold few others.
	maxPacked = 32
)

// fetchCatalog asks a peer for what it knows after a position.
func (r *reader) fetchCatalog(p follow.Pull) (*pb.CatalogPage, error) {
	base := r.base()
	req := question(p.Address, pullPath)
	defer fasthttp.ReleaseRequest(req)
	args := req.URI().QueryArgs()
	args.Set(argAfter, strconv.FormatUint(p.After.Revision, 10))
	args.Set(argEra, strconv.FormatUint(p.After.Era, 10))
	args.Set(argPacked, "1")
	if len(base.Text) > 0 {
		args.Set(argBase, strconv.FormatUint(base.Sum, 16))
	}
	page, err := r.fetch(req, traffic.Page, p, base)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreadable = trace.IsBadParameter(err)
	return page, err
}

// question is a request to a peer, to be released. The host comes first: the library
// takes it from there when the rest of the address is read.
func question(address, path string) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetHost(address)
	req.SetRequestURI(path)
	req.SetConnectionClose()
	return req
}

// base is what a page may be packed against: none after one that could not be unpacked.
func (r *reader) base() catalog.Document {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreadable {
		return catalog.Document{}
	}
	return r.follower.State().InForce()
}

// fetch sends a question to a peer and decodes its page. A page that cannot be read is a
// trace.BadParameter.
func (r *reader) fetch(req *fasthttp.Request, purpose traffic.Purpose, p follow.Pull, base catalog.Document) (*pb.CatalogPage, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	client := &fasthttp.HostClient{
		Addr: p.Address, MaxResponseBodySize: pagepack.MaxPage, NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1,
		DialTimeout: func(addr string, _ time.Duration) (net.Conn, error) {
			conn, err := dialStalling(addr, p.Stall)
			if err != nil {
				return nil, err
			}
			return traffic.CountConn(conn, func(n int) { r.exchanged(purpose, p.Address, n) }), nil
		},
	}
	if err := client.DoTimeout(req, resp, p.Timeout); err != nil {
		return nil, trace.Wrap(err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, trace.ConnectionProblem(nil, "the peer answered with status %d", resp.StatusCode())
	}
	r.met.pulled.Add(float64(len(resp.Body())))
	if string(resp.Header.ContentEncoding()) == packedEncoding {
		return pagepack.Unpack(resp.Body(), base)
	}
	page := &pb.CatalogPage{}
	if err := proto.Unmarshal(resp.Body(), page); err != nil {
		return nil, trace.BadParameter("a page of %d bytes: %v", len(resp.Body()), err)
	}
	return page, nil
}

func pageOf(m *pb.CatalogPage) catalog.Page {
	page := catalog.Page{
		At:    catalog.Position{Era: m.Era, Revision: m.Revision},
		After: catalog.Position{Era: m.Era, Revision: m.After},
		Whole: m.Whole,
	}
	for _, g := range m.Gaps {
		page.Gaps = append(page.Gaps, catalog.Gap{From: g.From, To: g.To})
	}
	for _, it := range m.Items {
		page.Items = append(page.Items, catalog.Item{Key: it.Key, Value: it.Value, Era: it.Era, Revision: it.Revision, Created: it.Created, Deleted: it.Deleted})
	}
	return page
}

// serve answers a peer's question.
func (r *reader) serve(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	after, err := positionOf(args)
	var body []byte
	switch path := string(ctx.Path()); {
	case path == pullPath && err != nil:
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	case path == pullPath && args.Has(argPacked):
		body, err = r.packedPage(after, baseOf(args))
		ctx.Response.Header.SetContentEncoding(packedEncoding)
	case path == pullPath:
		page, _ := r.page(after, 0)
		body, err = proto.Marshal(page)
	case path == membersPath:
		body, err = r.listFor(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if err != nil {
		r.log.Error("peer: page could not be made", zap.Error(err))
		ctx.Error("no page", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

// positionOf is the position up to which the asker knows everything.
func positionOf(args *fasthttp.Args) (catalog.Position, error) {
	revision, err := strconv.ParseUint(string(args.Peek(argAfter)), 10, 64)
	if err != nil {
		return catalog.Position{}, trace.BadParameter("%s must be a whole number", argAfter)
	}
	if !args.Has(argEra) {
		return catalog.Position{Revision: revision}, nil
	}
	era, err := strconv.ParseUint(string(args.Peek(argEra)), 10, 64)
	if err != nil {
		return catalog.Position{}, trace.BadParameter("%s must be a whole number", argEra)
	}
	return catalog.Position{Era: era, Revision: revision}, nil
}

// baseOf is the hash of the document that the asker holds, 0 when it names none: its page
// is then packed without.
func baseOf(args *fasthttp.Args) uint64 {
	sum, err := strconv.ParseUint(string(args.Peek(argBase)), 16, 64)
	if err != nil {
		return 0
	}
	return sum
}

// page is what is known after a position, and the document with a hash if it is kept.
func (r *reader) page(after catalog.Position, base uint64) (*pb.CatalogPage, catalog.Document) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.follower.State()
	known := state.PageSince(after)
	page := &pb.CatalogPage{Era: known.At.Era, Revision: known.At.Revision, After: known.After.Revision, Whole: known.Whole}
	for _, it := range known.Items {
		page.Items = append(page.Items, &pb.CatalogItem{
			Key: it.Key, Value: it.Value, Era: it.Era, Revision: it.Revision, Created: it.Created, Deleted: it.Deleted,
		})
	}
	for _, g := range known.Gaps {
		page.Gaps = append(page.Gaps, &pb.CatalogGap{From: g.From, To: g.To})
	}
	return page, state.Document(base)
}

// packedPages keeps pages of the present position packed. In a large fleet many VMs ask
// for the same at the same moment, and packing one takes a weak VM some ten milliseconds.
type packedPages struct {
	making singleflight.Group

	mu     sync.Mutex
	at     catalog.Position
	bodies map[packedKey][]byte
}

// packedKey is what a page depends on beside the position.
type packedKey struct {
	after catalog.Position
	base  uint64
}

func (k packedKey) String() string { return k.after.String() + " " + strconv.FormatUint(k.base, 16) }

func (p *packedPages) find(at catalog.Position, key packedKey) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at != at {
		return nil
	}
	return p.bodies[key]
}

func (p *packedPages) keep(at catalog.Position, key packedKey, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.Before(p.at) {
		return
	}
	if p.at.Before(at) || p.bodies == nil || len(p.bodies) >= maxPacked {
		p.at = at
		p.bodies = map[packedKey][]byte{}
	}
	p.bodies[key] = body
}

// forget drops all pages: what they hold was discarded.
func (p *packedPages) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at, p.bodies = catalog.Position{}, nil
}

// packedPage is the page for a peer, packed against the document that it holds where
// this VM has it too.
func (r *reader) packedPage(after catalog.Position, base uint64) ([]byte, error) {
	key := packedKey{after, base}
	if body := r.packed.find(r.position(), key); body != nil {
		return body, nil
	}
	body, err, _ := r.packed.making.Do(key.String(), func() (any, error) {
		page, document := r.page(after, base)
		body, err := pagepack.Pack(page, document)
		if err == nil {
			r.packed.keep(catalog.Position{Era: page.Era, Revision: page.Revision}, key, body)
		}
		return body, err
	})
	if err != nil {
		return nil, err
	}
	return body.([]byte), nil
}
