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
	"sycamorekeel.example/sycamorekeel/internal/follow"
	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pagepack"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/quarantine"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

const (
	// joinTimeout gives up a seed that does not answer: two round trips between
	// regions (54 ms) and the seed's own work. After the loss of all VMs no seed
	// answers, and none is ready before this has passed: with 0.2 s the share of
	// requests that nobody serves was an eighth higher on days with such a loss.
	joinTimeout = 80 * time.Millisecond
	// moreTimeout is the same for later questions, on whose answer nothing waits: a weak
	// seed that a whole region asks at once takes some tenths of a second.
	moreTimeout = 400 * time.Millisecond
	// listAge is how long a packed list is given to all who ask. When hundreds of VMs
	// start together a seed is asked by all of them at once, and packing a list of 300
	// takes a weak VM milliseconds.
	listAge = 100 * time.Millisecond
	// argRegion is the region of the asker. A VM of another region gives it only what it
	// says of itself, unless argWhole asks for all: the lists of a fleet that starts would
	// else be most of what crosses between regions.
	argRegion = "region"
	argWhole  = "whole"
	// crashingMost is how many requests that crash upstreams a VM that starts is told of,
	// those that are blocked first.
	crashingMost = 128
)

// joinWaits are the pauses before each further question, while VMs that start at the same
// moment become known. Whoever asks is known to the seeds from then on, so that a later
// answer has all of them.
var joinWaits = []time.Duration{400 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond}

// join asks for what others hold of the fleet: all seeds at the start, then a few times the
// nearest seed. Left to datagrams, a process that starts in a large fleet
// would take seconds to know it, and meanwhile send callers to the wrong VMs and take too
// large a part of what the VMs share. Seeds ask each other for all they know, so that
// nobody else has to ask in another region: in the model of
// package membership 295 VMs that start together know each other after 1.6 s in place of
// 3.2 s, and lists of 0.4 MB cross between regions in place of 9, not packed.
func (n *Node) join(ctx context.Context) error {
	seeds := otherSeeds(n.set.Load())
	if !n.reader.askSeeds(seeds, false) {
		n.reader.step((*follow.Follower).Alone)
	}
	for _, wait := range joinWaits {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
		n.joinMore(seeds)
	}
	return nil
}

// joinMore asks once more: a seed all the others, anybody else the nearest seed, or a VM
// nearby when no seed is known to be alive.
func (n *Node) joinMore(seeds []string) {
	if n.isSeed() {
		n.reader.askSeeds(seeds, true)
		return
	}
	view := n.members.Load()
	address := nearestSeed(view, n.place(), seeds)
	if address == "" {
		address = anyNearby(view, n.place(), n.set.Load().VM)
	}
	if address != "" {
		n.reader.askMembers(address, true)
	}
}

// isSeed tells whether the others know this VM's address from the start.
func (n *Node) isSeed() bool {
	set := n.set.Load()
	return slices.Contains(set.Seeds, set.PeerAddress)
}

// nearestSeed is the seed that is nearest of those alive, empty when none is known to be;
// of several as near, any.
func nearestSeed(view *membership.View, place locality.Place, seeds []string) string {
	return nearest(view, place, func(m *membership.Member) bool { return slices.Contains(seeds, m.PeerAddress) })
}

// anyNearby is one of the nearest VMs alive, empty when none is known.
func anyNearby(view *membership.View, place locality.Place, self string) string {
	return nearest(view, place, func(m *membership.Member) bool { return m.VM != self })
}

func nearest(view *membership.View, place locality.Place, ok func(*membership.Member) bool) string {
	least := locality.Unknown
	var addresses []string
	for i := range view.Members {
		m := &view.Members[i]
		if !m.Serves() || !ok(m) {
			continue
		}
		d := place.Within(m.Region, m.DataCentre)
		if d < least {
			least, addresses = d, nil
		}
		if d == least {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}

// askSeeds asks all seeds at once and tells whether one knows a configuration.
func (r *reader) askSeeds(seeds []string, whole bool) bool {
	var known atomic.Bool
	var group errgroup.Group
	for _, seed := range seeds {
		group.Go(func() error {
			if r.askMembers(seed, whole) > 0 {
				known.Store(true)
			}
			return nil
		})
	}
	// The questions end by themselves and give no error.
	_ = group.Wait()
	return known.Load()
}

// askMembers asks a VM for what it holds of the fleet and gives its revision, 0 when it
// does not answer.
func (r *reader) askMembers(address string, whole bool) uint64 {
	page, err := r.fetchMembers(address, whole)
	if err != nil {
		r.log.Info("peer: join failed", zap.String("peer", address), zap.Error(err))
		return 0
	}
	r.learn(page.Members)
	r.poison.Heard(address, page.Quarantine)
	for _, m := range page.Members {
		if m.PeerAddress == address && page.Revision > 0 {
			r.heard(m, catalog.Position{Era: page.Era, Revision: page.Revision}, follow.Unconfirmed)
		}
	}
	return page.Revision
}

// fetchMembers asks a VM for what it holds of the fleet, and tells it of this one.
func (r *reader) fetchMembers(address string, whole bool) (*pb.CatalogPage, error) {
	self := r.self()
	body, err := proto.Marshal(self)
	if err != nil {
		return nil, err
	}
	req := question(address, membersPath)
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	args := req.URI().QueryArgs()
	args.Set(argPacked, "1")
	args.Set(argRegion, self.Region)
	if whole {
		args.Set(argWhole, "1")
	}
	timeout := joinTimeout
	if whole {
		timeout = moreTimeout
	}
	return r.fetch(req, traffic.Members, follow.Pull{Address: address, Stall: timeout, Timeout: timeout}, catalog.Document{})
}

// listFor answers a VM that starts, and takes in what it says of itself.
func (r *reader) listFor(ctx *fasthttp.RequestCtx) ([]byte, error) {
	asker := &pb.MemberUpdate{}
	switch err := proto.Unmarshal(ctx.PostBody(), asker); {
	case err != nil:
		r.log.Warn("peer: a joining VM could not be read", zap.Error(err))
	case asker.Vm != "":
		r.learn([]*pb.MemberUpdate{asker})
	}
	args := ctx.QueryArgs()
	if !args.Has(argPacked) {
		return proto.Marshal(r.memberPage(r.members()))
	}
	ctx.Response.Header.SetContentEncoding(packedEncoding)
	self := r.self()
	if !args.Has(argWhole) && string(args.Peek(argRegion)) != self.Region {
		return pagepack.Pack(r.memberPage([]*pb.MemberUpdate{self}), catalog.Document{})
	}
	return r.memberList.get(time.Now(), func() ([]byte, error) {
		return pagepack.Pack(r.memberPage(r.members()), catalog.Document{})
	})
}

// memberPage is what a VM that starts is told: members of the fleet, how far this VM is, and
// what it holds of requests that crash upstreams.
func (r *reader) memberPage(members []*pb.MemberUpdate) *pb.CatalogPage {
	at := r.position()
	return &pb.CatalogPage{Era: at.Era, Revision: at.Revision, Members: members, Quarantine: r.crashing()}
}

// crashing is what a VM that starts is told of requests that crash upstreams.
func (r *reader) crashing() []*pb.QuarantineEntry {
	return quarantine.Encode(r.poison.All(time.Now(), crashingMost))
}

// packedList keeps the list of members packed for a moment. Its lock is held while a list
// is packed, so that those who ask meanwhile get the same.
type packedList struct {
	mu   sync.Mutex
	at   time.Time
	body []byte
}

// get is the list, packed anew when the one that is kept is too old.
func (l *packedList) get(now time.Time, pack func() ([]byte, error)) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.body != nil && now.Sub(l.at) < listAge {
		return l.body, nil
	}
	body, err := pack()
	if err != nil {
		return nil, err
	}
	l.at, l.body = now, body
	return body, nil
}
