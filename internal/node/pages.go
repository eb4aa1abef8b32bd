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
	"sycamorekeel.example/sycamorekeel/internal/catalogsync"
	"sycamorekeel.example/sycamorekeel/internal/pagecodec"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/responsecheck"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

const (
	// catalogPath is the path at which a VM serves its catalog to peers.
	catalogPath = "/catalog"
	// membersPath is the path at which a VM serves its member list to peers.
	membersPath = "/members"
	// argAfter is the revision up to which the requester has all changes, and argEra is
	// the era of that revision. Older releases do not send argEra.
	argAfter = "after"
	argEra   = "era"
	// argPacked says that the requester accepts packed pages. Older releases do not
	// send it and receive unpacked pages.
	argPacked = "packed"
	// argBase is the hash, in hexadecimal, of the configuration that the requester
	// holds.
	argBase = "base"
	// packedEncoding is the Content-Encoding of a packed page.
	packedEncoding = "zstd"
	// maxCachedPages limits the cached packed pages. Peers that request pages of the
	// same position hold few different earlier ones.
	maxCachedPages = 32
)

// fetchCatalog requests a peer's catalog changes after a position.
func (s *catalogSyncer) fetchCatalog(p catalogsync.Pull) (*pb.CatalogPage, error) {
	base := s.packingBase()
	req := newPeerRequest(p.Address, catalogPath)
	defer fasthttp.ReleaseRequest(req)
	args := req.URI().QueryArgs()
	args.Set(argAfter, strconv.FormatUint(p.After.Revision, 10))
	args.Set(argEra, strconv.FormatUint(p.After.Era, 10))
	args.Set(argPacked, "1")
	if len(base.Text) > 0 {
		args.Set(argBase, strconv.FormatUint(base.Sum, 16))
	}
	page, err := s.fetch(req, traffic.Page, p, base)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastPageUnreadable = trace.IsBadParameter(err)
	return page, err
}

// newPeerRequest returns a request to a peer; the caller releases it. The host is set
// first because fasthttp takes it from the header when it parses the request URI.
func newPeerRequest(address, path string) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetHost(address)
	req.SetRequestURI(path)
	req.SetConnectionClose()
	return req
}

// packingBase returns the document that a page may be packed against: the configuration
// in force, or the zero Document if the last page could not be unpacked.
func (s *catalogSyncer) packingBase() catalog.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastPageUnreadable {
		return catalog.Document{}
	}
	return s.follower.State().InForce()
}

// fetch sends a request to a peer and decodes the page in the response. It returns a
// trace.BadParameter error if the page cannot be decoded.
func (s *catalogSyncer) fetch(req *fasthttp.Request, purpose traffic.Purpose, p catalogsync.Pull, base catalog.Document) (*pb.CatalogPage, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	client := &fasthttp.HostClient{
		Addr: p.Address, NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1,
		DialTimeout: func(addr string, _ time.Duration) (net.Conn, error) {
			conn, err := dialWithIdleTimeout(addr, p.StallTimeout)
			if err != nil {
				return nil, err
			}
			return responsecheck.NewConn(traffic.CountConn(conn, func(n int) { s.countBytes(purpose, p.Address, n) })), nil
		},
	}
	body, err := s.bodies.Do(client, req, resp, p.Timeout, s.maxPage)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer body.Release()
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, trace.ConnectionProblem(nil, "the peer answered with status %d", resp.StatusCode())
	}
	s.met.pulledBytes.Add(float64(len(resp.Body())))
	if string(resp.Header.ContentEncoding()) == packedEncoding {
		return pagecodec.Unpack(resp.Body(), base)
	}
	page := &pb.CatalogPage{}
	if err := proto.Unmarshal(resp.Body(), page); err != nil {
		return nil, trace.BadParameter("cannot decode page of %d bytes: %v", len(resp.Body()), err)
	}
	return page, nil
}

func decodePage(m *pb.CatalogPage) catalog.Page {
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

// servePeer handles a peer's request for the catalog or the member list.
func (s *catalogSyncer) servePeer(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	after, err := parsePosition(args)
	var body []byte
	switch path := string(ctx.Path()); {
	case path == catalogPath && err != nil:
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	case path == catalogPath && args.Has(argPacked):
		body, err = s.encodePage(after, parseBase(args))
		ctx.Response.Header.SetContentEncoding(packedEncoding)
	case path == catalogPath:
		page, _ := s.pageSince(after, 0)
		body, err = proto.Marshal(page)
	case path == membersPath:
		body, err = s.memberListFor(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if err != nil {
		s.log.Error("peer: failed to encode page", zap.Error(err))
		ctx.Error("no page", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

// parsePosition returns the position up to which the requester has all changes.
func parsePosition(args *fasthttp.Args) (catalog.Position, error) {
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

// parseBase returns the hash of the document that the requester holds, or 0 if the
// request names none, so that its page is packed without a base.
func parseBase(args *fasthttp.Args) uint64 {
	sum, err := strconv.ParseUint(string(args.Peek(argBase)), 16, 64)
	if err != nil {
		return 0
	}
	return sum
}

// pageSince returns the changes after a position, and the document with the hash base
// if this VM still has it.
func (s *catalogSyncer) pageSince(after catalog.Position, base uint64) (*pb.CatalogPage, catalog.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.follower.State()
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

// pageCache caches the packed pages of the current position. In a large fleet many VMs
// request the same page at the same time, and packing one takes a slow VM about ten
// milliseconds.
type pageCache struct {
	encoding singleflight.Group

	mu     sync.Mutex
	at     catalog.Position
	bodies map[pageKey][]byte
}

// pageKey holds what a packed page depends on besides the position.
type pageKey struct {
	after catalog.Position
	base  uint64
}

func (k pageKey) String() string { return k.after.String() + " " + strconv.FormatUint(k.base, 16) }

func (p *pageCache) get(at catalog.Position, key pageKey) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at != at {
		return nil
	}
	return p.bodies[key]
}

func (p *pageCache) put(at catalog.Position, key pageKey, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.Before(p.at) {
		return
	}
	if p.at.Before(at) || p.bodies == nil || len(p.bodies) >= maxCachedPages {
		p.at = at
		p.bodies = map[pageKey][]byte{}
	}
	p.bodies[key] = body
}

// reset removes all pages. It is called when the catalog that they were made from is
// discarded.
func (p *pageCache) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at, p.bodies = catalog.Position{}, nil
}

// encodePage returns the packed page for a peer, using the document that the peer holds
// as its base if this VM has it too.
func (s *catalogSyncer) encodePage(after catalog.Position, base uint64) ([]byte, error) {
	key := pageKey{after, base}
	if body := s.pages.get(s.position(), key); body != nil {
		return body, nil
	}
	body, err, _ := s.pages.encoding.Do(key.String(), func() (any, error) {
		page, document := s.pageSince(after, base)
		body, err := pagecodec.Pack(page, document)
		if err == nil {
			s.pages.put(catalog.Position{Era: page.Era, Revision: page.Revision}, key, body)
		}
		return body, err
	})
	if err != nil {
		return nil, err
	}
	return body.([]byte), nil
}
