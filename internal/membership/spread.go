package membership

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

const (
	// spreadFactor times log10 of the members is how often an update is sent.
	spreadFactor = 4
	// budgetSeconds is how many seconds of the update rate may be saved up.
	budgetSeconds = 2
	// sequenceBytes is the room left for the sequence that the driver stamps.
	sequenceBytes = 11
	// updatesField is the field number of Datagram.updates.
	updatesField = 7
)

// queue holds the members whose state still has to be spread.
type queue struct {
	news  []news
	index map[string]int
}

// news is one member and how often its state was sent.
type news struct {
	vm   string
	sent int
}

func newQueue() queue { return queue{index: map[string]int{}} }

func (q *queue) empty() bool { return len(q.news) == 0 }

func (q *queue) put(vm string) {
	if i, ok := q.index[vm]; ok {
		q.news[i].sent = 0
		return
	}
	q.index[vm] = len(q.news)
	q.news = append(q.news, news{vm: vm})
}

func (q *queue) drop(vm string) {
	i, ok := q.index[vm]
	if !ok {
		return
	}
	last := len(q.news) - 1
	q.news[i] = q.news[last]
	q.index[q.news[i].vm] = i
	q.news = q.news[:last]
	delete(q.index, vm)
}

// first gives the members to send, least sent first, until take refuses one;
// what was sent limit times is dropped.
func (q *queue) first(limit int, take func(vm string) bool) {
	var taken []string
	defer func() { q.mark(taken, limit) }()
	for level := range limit {
		for i := range q.news {
			if q.news[i].sent != level {
				continue
			}
			if !take(q.news[i].vm) {
				return
			}
			taken = append(taken, q.news[i].vm)
		}
	}
}

func (q *queue) mark(taken []string, limit int) {
	for _, vm := range taken {
		n := &q.news[q.index[vm]]
		n.sent++
		if n.sent >= limit {
			q.drop(vm)
		}
	}
}

// budget bounds the bytes of updates: a storm of changes must not take the
// network of the VMs.
type budget struct {
	rate   float64
	tokens float64
	last   time.Time
}

func (b *budget) refill(now time.Time) {
	if now.After(b.last) {
		b.tokens = min(b.tokens+b.rate*now.Sub(b.last).Seconds(), b.rate*budgetSeconds)
		b.last = now
	}
}

// spend takes bytes unless less than keep would be left.
func (b *budget) spend(bytes int, keep float64) bool {
	if b.tokens-float64(bytes) < keep {
		return false
	}
	b.tokens -= float64(bytes)
	return true
}

func (n *Node) send(address string, d *pb.Datagram, to *record) {
	n.sendSync(address, d, to, nil)
}

// sendSync completes a datagram with this node's own record, with what is held
// against the receiver, and with as many updates as fit: news first, then the
// members of the buckets in which the receiver's digest is another one.
func (n *Node) sendSync(address string, d *pb.Datagram, to *record, digest []uint32) {
	if n.superseded || address == "" {
		return
	}
	d.Sender = n.self.update()
	d.StoreEra = n.era
	d.ConfigRevision = n.revision
	d.ConfirmedAgeMs = n.confirmedAge()
	p := packer{datagram: d, room: MaxDatagram - SignatureBytes - sequenceBytes - proto.Size(d)}
	if to != nil && to != n.self && !to.healthy() {
		p.add(to.update())
	}
	n.addNews(&p, to)
	if len(digest) == digestBuckets {
		n.addDiffering(&p, digest)
	}
	s := Send{Address: address, Datagram: d}
	if to != nil {
		s.Region, s.DataCentre = to.Region, to.DataCentre
	}
	n.out.Sends = append(n.out.Sends, s)
}

// confirmedAge is the age announced with each datagram, in milliseconds and at
// least 1; 0 when nothing was confirmed.
func (n *Node) confirmedAge() uint32 {
	if n.confirmed.IsZero() {
		return 0
	}
	return uint32(max(1, n.now.Sub(n.confirmed).Milliseconds()))
}

func (r *record) healthy() bool {
	return r.State == pb.MemberState_ALIVE || r.State == pb.MemberState_LEAVING
}

func (n *Node) addNews(p *packer, to *record) {
	limit := int(spreadFactor * math.Ceil(math.Log10(float64(len(n.table.sorted)+1))))
	n.hot.first(limit, func(vm string) bool {
		if vm == n.self.VM || to != nil && vm == to.VM {
			// Every datagram carries the sender; the receiver knows itself.
			return true
		}
		return n.add(p, n.table.get(vm).news(), 0)
	})
}

// addDiffering starts at a random member, so that a bucket that does not fit
// is passed on in the end. Deaths in it are second hand.
func (n *Node) addDiffering(p *packer, digest []uint32) {
	count := len(n.table.sorted)
	start := n.rand.IntN(count)
	for i := range count {
		r := n.table.sorted[(start+i)%count]
		if digest[r.bucket] == n.table.digest[r.bucket] || r.Incarnation == 0 || r == n.self {
			continue
		}
		u := r.difference()
		u.SecondHand = r.State == pb.MemberState_DEAD
		// News needs room at once; a difference can wait.
		if !n.add(p, u, n.budget.rate) {
			return
		}
	}
}

// add spends the budget, but for what is to be kept, on an update that fits.
func (n *Node) add(p *packer, u *pb.MemberUpdate, keep float64) bool {
	size := updateSize(u)
	if size > p.room || !n.budget.spend(size, keep) {
		return false
	}
	return p.add(u)
}

// packer fills a datagram up to its room.
type packer struct {
	datagram *pb.Datagram
	room     int
}

func (p *packer) add(u *pb.MemberUpdate) bool {
	size := updateSize(u)
	if size > p.room {
		return false
	}
	p.room -= size
	p.datagram.Updates = append(p.datagram.Updates, u)
	return true
}

func updateSize(u *pb.MemberUpdate) int {
	return protowire.SizeTag(updatesField) + protowire.SizeBytes(proto.Size(u))
}
