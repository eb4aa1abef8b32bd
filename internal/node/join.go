package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/catalogsync"
	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pagecodec"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/quarantine"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

const (
	// joinTimeout limits the first request to a seed: two round trips between regions
	// (54 ms) and the seed's processing time. After the loss of all VMs no seed
	// answers, and no VM becomes ready before joinTimeout has passed; with 0.2 s, an
	// eighth more requests went unserved on days with such a loss.
	joinTimeout = 80 * time.Millisecond
	// refreshTimeout limits later requests, which delay nothing: a slow seed that a
	// whole region queries at once takes several tenths of a second.
	refreshTimeout = 400 * time.Millisecond
	// memberListTTL is how long a packed member list is reused for all requesters. When
	// hundreds of VMs start together, all of them query a seed at once, and packing a
	// list of 300 members takes a slow VM several milliseconds.
	memberListTTL = 100 * time.Millisecond
	// argRegion is the requester's region. A VM in another region returns only its own
	// entry unless argAllMembers is set; otherwise the member lists of a starting fleet
	// would make up most of the traffic between regions.
	argRegion     = "region"
	argAllMembers = "whole"
	// maxQuarantineEntries limits the entries on requests that crash upstreams in an
	// answer to a joining VM. Blocked requests come first.
	maxQuarantineEntries = 128
)

// refreshDelays are the pauses before the member list is fetched again. A request also
// introduces its sender to the seed, so later answers include all VMs that started at
// the same time.
var refreshDelays = []time.Duration{400 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond}

// join fetches the member list from all seeds at the start and then a few times from
// the nearest seed. Through datagrams alone, a process that starts in a large fleet
// would need seconds to discover it. Until then it would send callers to the wrong VMs
// and take too large a share of the fleet-wide limits.
//
// Seeds fetch complete lists from each other, so that no other VM has to fetch one from
// another region. In the simulation in package membership, 295 VMs that start together
// then discover each other after 1.6 s instead of 3.2 s, and the lists that cross
// between regions take 0.4 MB instead of 9 MB, uncompressed.
func (d *Daemon) join(ctx context.Context) error {
	seeds := otherSeeds(d.settings.Load())
	if !d.syncer.querySeeds(seeds, false) {
		d.syncer.step((*catalogsync.Follower).SeedsEmpty)
	}
	for _, wait := range refreshDelays {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
		d.refreshMembers(seeds)
	}
	return nil
}

// refreshMembers fetches the member list again. A seed queries all other seeds; any
// other VM queries the nearest seed, or a nearby VM if no seed is known to be alive.
func (d *Daemon) refreshMembers(seeds []string) {
	if d.isSeed() {
		d.syncer.querySeeds(seeds, true)
		return
	}
	view := d.members.Load()
	address := nearestSeed(view, d.place(), seeds)
	if address == "" {
		address = nearestOther(view, d.place(), d.settings.Load().VM)
	}
	if address != "" {
		d.syncer.queryMembers(address, true)
	}
}

// isSeed reports whether this VM is one of the configured seeds.
func (d *Daemon) isSeed() bool {
	set := d.settings.Load()
	return slices.Contains(set.Seeds, set.PeerAddress)
}

// nearestSeed returns the address of the nearest live seed, chosen at random among
// equally near ones, or "" if no seed is known to be alive.
func nearestSeed(view *membership.View, place locality.Place, seeds []string) string {
	return pickNearest(view, place, func(m *membership.Member) bool { return slices.Contains(seeds, m.PeerAddress) })
}

// nearestOther returns the address of a random one of the nearest live VMs other than
// self, or "" if none is known.
func nearestOther(view *membership.View, place locality.Place, self string) string {
	return pickNearest(view, place, func(m *membership.Member) bool { return m.VM != self })
}

// pickNearest returns the address of a random one of the nearest live members that
// match, or "" if there is none.
func pickNearest(view *membership.View, place locality.Place, match func(*membership.Member) bool) string {
	shortest := locality.Unknown
	var addresses []string
	for i := range view.Members {
		m := &view.Members[i]
		if !m.Serves() || !match(m) {
			continue
		}
		d := place.KnownDistanceTo(m.Region, m.DataCentre)
		if d < shortest {
			shortest, addresses = d, nil
		}
		if d == shortest {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}

// querySeeds queries all seeds concurrently and reports whether any of them has a
// configuration.
func (s *catalogSyncer) querySeeds(seeds []string, allMembers bool) bool {
	var known atomic.Bool
	var group errgroup.Group
	for _, seed := range seeds {
		group.Go(func() error {
			if s.queryMembers(seed, allMembers) > 0 {
				known.Store(true)
			}
			return nil
		})
	}
	// Each request ends at its timeout, and the functions return no error.
	_ = group.Wait()
	return known.Load()
}

// queryMembers fetches the member list of the VM at address and applies it. It returns
// the VM's catalog revision, or 0 if the request fails.
func (s *catalogSyncer) queryMembers(address string, allMembers bool) uint64 {
	page, err := s.fetchMembers(address, allMembers)
	if err != nil {
		s.log.Info("peer: join failed", zap.String("peer", address), zap.Error(err))
		return 0
	}
	s.learnMembers(page.Members)
	s.poison.HandleEntries(address, page.Quarantine)
	for _, m := range page.Members {
		if m.PeerAddress == address && page.Revision > 0 {
			s.onPeerPosition(m, catalog.Position{Era: page.Era, Revision: page.Revision}, catalogsync.Unconfirmed)
		}
	}
	return page.Revision
}

// fetchMembers requests the member list of the VM at address and sends this VM's own
// entry along.
func (s *catalogSyncer) fetchMembers(address string, allMembers bool) (*pb.CatalogPage, error) {
	self := s.self()
	body, err := proto.Marshal(self)
	if err != nil {
		return nil, err
	}
	req := newPeerRequest(address, membersPath)
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	args := req.URI().QueryArgs()
	args.Set(argPacked, "1")
	args.Set(argRegion, self.Region)
	if allMembers {
		args.Set(argAllMembers, "1")
	}
	timeout := joinTimeout
	if allMembers {
		timeout = refreshTimeout
	}
	return s.fetch(req, traffic.Members, catalogsync.Pull{Address: address, StallTimeout: timeout, Timeout: timeout}, catalog.Document{})
}

// memberListFor returns the encoded answer to a joining VM and adds that VM's entry,
// from the request body, to the member list.
func (s *catalogSyncer) memberListFor(ctx *fasthttp.RequestCtx) ([]byte, error) {
	joining := &pb.MemberUpdate{}
	switch err := proto.Unmarshal(ctx.PostBody(), joining); {
	case err != nil:
		s.log.Warn("peer: failed to decode the joining VM", zap.Error(err))
	case joining.Vm != "":
		s.learnMembers([]*pb.MemberUpdate{joining})
	}
	args := ctx.QueryArgs()
	if !args.Has(argPacked) {
		return proto.Marshal(s.memberPage(s.memberUpdates()))
	}
	ctx.Response.Header.SetContentEncoding(packedEncoding)
	self := s.self()
	if !args.Has(argAllMembers) && string(args.Peek(argRegion)) != self.Region {
		return pagecodec.Pack(s.memberPage([]*pb.MemberUpdate{self}), catalog.Document{})
	}
	return s.memberList.get(time.Now(), func() ([]byte, error) {
		return pagecodec.Pack(s.memberPage(s.memberUpdates()), catalog.Document{})
	})
}

// memberPage returns a page with the given members, this VM's catalog position and its
// entries on requests that crash upstreams.
func (s *catalogSyncer) memberPage(members []*pb.MemberUpdate) *pb.CatalogPage {
	at := s.position()
	return &pb.CatalogPage{Era: at.Era, Revision: at.Revision, Members: members, Quarantine: s.quarantineEntries()}
}

// quarantineEntries returns up to maxQuarantineEntries entries on requests that crash
// upstreams.
func (s *catalogSyncer) quarantineEntries() []*pb.QuarantineEntry {
	return quarantine.Encode(s.poison.Snapshot(time.Now(), maxQuarantineEntries))
}

// memberListCache caches the packed member list. Its lock is held while a list is
// packed, so that concurrent requests share one result.
type memberListCache struct {
	mu       sync.Mutex
	packedAt time.Time
	body     []byte
}

// get returns the cached list, or calls pack for a new one if the cached one is older
// than memberListTTL.
func (l *memberListCache) get(now time.Time, pack func() ([]byte, error)) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.body != nil && now.Sub(l.packedAt) < memberListTTL {
		return l.body, nil
	}
	body, err := pack()
	if err != nil {
		return nil, err
	}
	l.packedAt, l.body = now, body
	return body, nil
}
