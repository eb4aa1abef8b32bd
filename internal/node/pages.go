package node

import (
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"sycamorekeel.example/sycamorekeel/internal/bodylimit"
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
	// untilClose is the library's length of a body that ends with its connection.
	untilClose = -2
	// argReads is the version of the requester's decoder. Older releases do not send it.
	argReads = "reads"
)

// errPagesInFlight is the error of a page for which there is no room beside others that peers still
// read.
var errPagesInFlight = errors.New("too many bytes of pages are being sent")

// fetchCatalog requests a peer's catalog changes after a position.
func (s *catalogSyncer) fetchCatalog(p catalogsync.Pull) (*pb.CatalogPage, error) {
	base := s.packingBase()
	req := newPeerRequest(p.Address, catalogPath)
	defer fasthttp.ReleaseRequest(req)
	args := req.URI().QueryArgs()
	args.Set(argAfter, strconv.FormatUint(p.After.Revision, 10))
	args.Set(argEra, strconv.FormatUint(p.After.Era, 10))
	args.Set(argPacked, "1")
	args.Set(argReads, strconv.FormatUint(s.reads, 10))
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
	if resp.Header.ContentLength() == untilClose {
		// A complete page cannot be distinguished from one that is cut.
		return nil, trace.ConnectionProblem(nil, "the peer's page has no length")
	}
	s.met.pulledBytes.Add(float64(len(resp.Body())))
	s.pageWork.Lock()
	defer s.pageWork.Unlock()
	if string(resp.Header.ContentEncoding()) == packedEncoding {
		return s.codec.Unpack(resp.Body(), base)
	}
	return s.codec.Decode(resp.Body())
}

// isTooLarge reports whether a pull failed because of the size of the page.
func isTooLarge(err error) bool {
	return errors.Is(err, bodylimit.ErrTooLarge) || errors.Is(err, pagecodec.ErrTooLarge)
}

func decodePage(m *pb.CatalogPage) catalog.Page {
	page := catalog.Page{
		At:    catalog.Position{Era: m.Era, Revision: m.Revision},
		After: catalog.Position{Era: m.Era, Revision: m.After},
		Whole: m.Whole, Partial: m.Partial,
	}
	for _, g := range m.Gaps {
		page.Gaps = append(page.Gaps, catalog.Gap{From: g.From, To: g.To})
	}
	for _, it := range m.Items {
		item := catalog.Item{Key: it.Key, Value: it.Value, Era: it.Era, Revision: it.Revision, Created: it.Created, Deleted: it.Deleted}
		if it.Withheld {
			item.Fault = catalog.ErrWithheld
		}
		page.Items = append(page.Items, item)
	}
	return page
}

// servePeer handles a peer's request for the catalog or the member list.
func (s *catalogSyncer) servePeer(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case catalogPath:
		s.serveCatalog(ctx)
	case membersPath:
		body, err := s.memberListFor(ctx)
		if err != nil {
			s.pageFailed(ctx, err)
			return
		}
		ctx.SetBody(body)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// serveCatalog handles a peer's request for the catalog.
func (s *catalogSyncer) serveCatalog(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	after, err := parsePosition(args)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	key := pageKey{after: after, foreign: string(args.Peek(argReads)) != strconv.FormatUint(s.reads, 10)}
	var page *packedPage
	if args.Has(argPacked) {
		key.base = parseBase(args)
		page, err = s.encodePage(key)
	} else {
		page, err = s.encodePlainPage(key)
	}
	switch {
	case errors.Is(err, errPagesInFlight):
		s.met.refusedPages.Inc()
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	case err != nil:
		s.pageFailed(ctx, err)
	default:
		if args.Has(argPacked) {
			ctx.Response.Header.SetContentEncoding(packedEncoding)
		}
		ctx.SetBodyStream(s.pages.newStream(page), len(page.body))
	}
}

func (s *catalogSyncer) pageFailed(ctx *fasthttp.RequestCtx, err error) {
	s.log.Error("peer: failed to encode page", zap.Error(err))
	ctx.Error("no page", fasthttp.StatusInternalServerError)
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

// pageSince returns the changes after the position of a page, and the document that is its base if
// this VM still has it.
func (s *catalogSyncer) pageSince(key pageKey) (*pb.CatalogPage, catalog.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.follower.State()
	known := state.PageSince(key.after)
	page := &pb.CatalogPage{
		Era: known.At.Era, Revision: known.At.Revision, After: known.After.Revision, Whole: known.Whole,
		Partial: known.NoRoom || known.Unread && key.foreign,
	}
	for _, it := range known.Items {
		page.Items = append(page.Items, &pb.CatalogItem{
			Key: it.Key, Value: it.Value, Era: it.Era, Revision: it.Revision, Created: it.Created, Deleted: it.Deleted,
			Withheld: it.Fault != nil,
		})
	}
	for _, g := range known.Gaps {
		page.Gaps = append(page.Gaps, &pb.CatalogGap{From: g.From, To: g.To})
	}
	return page, state.Document(key.base)
}

// encodePage returns the packed page for a peer, using the document that the peer holds as its base if
// this VM has it too. The caller releases the page.
func (s *catalogSyncer) encodePage(key pageKey) (*packedPage, error) {
	if page := s.pages.get(s.position(), key); page != nil {
		return page, nil
	}
	s.pageWork.Lock()
	defer s.pageWork.Unlock()
	if page := s.pages.get(s.position(), key); page != nil {
		return page, nil
	}
	message, document := s.pageSince(key)
	body, err := s.codec.Pack(message, document)
	if err != nil {
		return nil, err
	}
	page := s.pages.put(catalog.Position{Era: message.Era, Revision: message.Revision}, key, body)
	if page == nil {
		return nil, errPagesInFlight
	}
	return page, nil
}

// encodePlainPage returns the unpacked page for a peer of a release that does not accept packed ones.
func (s *catalogSyncer) encodePlainPage(key pageKey) (*packedPage, error) {
	s.pageWork.Lock()
	defer s.pageWork.Unlock()
	message, _ := s.pageSince(key)
	body, err := proto.Marshal(message)
	if err != nil {
		return nil, err
	}
	page := s.pages.putUncached(body)
	if page == nil {
		return nil, errPagesInFlight
	}
	return page, nil
}
