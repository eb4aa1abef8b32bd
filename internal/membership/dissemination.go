package membership

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

const (
	// retransmitFactor times log10 of the number of members is how often an update is sent.
	retransmitFactor = 4
	// maxBudgetSeconds is how many seconds of the update rate the budget can accumulate.
	maxBudgetSeconds = 2
	// sequenceBytes is the space reserved for the sequence number set by the driver.
	sequenceBytes = 11
	// updatesFieldNumber is the field number of Datagram.updates.
	updatesFieldNumber = 7
)

// updateQueue holds the members whose state still has to be disseminated.
type updateQueue struct {
	entries []queuedUpdate
	index   map[string]int
}

// queuedUpdate is a queued member and how often its state was sent.
type queuedUpdate struct {
	vm   string
	sent int
}

func newUpdateQueue() updateQueue { return updateQueue{index: map[string]int{}} }

func (q *updateQueue) empty() bool { return len(q.entries) == 0 }

func (q *updateQueue) put(vm string) {
	if i, ok := q.index[vm]; ok {
		q.entries[i].sent = 0
		return
	}
	q.index[vm] = len(q.entries)
	q.entries = append(q.entries, queuedUpdate{vm: vm})
}

func (q *updateQueue) drop(vm string) {
	i, ok := q.index[vm]
	if !ok {
		return
	}
	last := len(q.entries) - 1
	q.entries[i] = q.entries[last]
	q.index[q.entries[i].vm] = i
	q.entries = q.entries[:last]
	delete(q.index, vm)
}

// takeNext passes members to take, least sent first, until take returns false. Members
// that have been sent limit times are removed.
func (q *updateQueue) takeNext(limit int, take func(vm string) bool) {
	var taken []string
	defer func() { q.markSent(taken, limit) }()
	for sent := range limit {
		for i := range q.entries {
			if q.entries[i].sent != sent {
				continue
			}
			if !take(q.entries[i].vm) {
				return
			}
			taken = append(taken, q.entries[i].vm)
		}
	}
}

func (q *updateQueue) markSent(taken []string, limit int) {
	for _, vm := range taken {
		n := &q.entries[q.index[vm]]
		n.sent++
		if n.sent >= limit {
			q.drop(vm)
		}
	}
}

// budget is a token bucket for the bytes of updates, so that a burst of changes does
// not saturate the network.
type budget struct {
	rate   float64
	tokens float64
	last   time.Time
}

func (b *budget) refill(now time.Time) {
	if now.After(b.last) {
		b.tokens = min(b.tokens+b.rate*now.Sub(b.last).Seconds(), b.rate*maxBudgetSeconds)
		b.last = now
	}
}

// spend takes bytes unless less than reserve would be left.
func (b *budget) spend(bytes int, reserve float64) bool {
	if b.tokens-float64(bytes) < reserve {
		return false
	}
	b.tokens -= float64(bytes)
	return true
}

func (n *Node) send(address string, d *pb.Datagram, to *record) {
	n.sendWithSync(address, d, to, nil)
}

// sendWithSync completes a datagram with this node's own record, with the receiver's
// record if it is suspected or dead, and with as many updates as fit: queued ones first,
// then the members of the buckets in which the receiver's digest differs.
func (n *Node) sendWithSync(address string, d *pb.Datagram, to *record, digest []uint32) {
	if n.superseded || address == "" {
		return
	}
	d.Sender = n.self.fullUpdate()
	d.StoreEra = n.era
	d.ConfigRevision = n.revision
	d.ConfirmedAgeMs = n.confirmedAge()
	p := packer{datagram: d, room: MaxDatagram - SignatureBytes - sequenceBytes - proto.Size(d)}
	if to != nil && to != n.self && !to.healthy() {
		p.add(to.fullUpdate())
	}
	n.addQueued(&p, to)
	if len(digest) == digestBuckets {
		n.addSyncUpdates(&p, digest)
	}
	s := Send{Address: address, Datagram: d}
	if to != nil {
		s.Region, s.DataCentre = to.Region, to.DataCentre
	}
	n.out.Sends = append(n.out.Sends, s)
}

// confirmedAge returns the age of the last confirmation in milliseconds, at least 1, or
// 0 if there was none.
func (n *Node) confirmedAge() uint32 {
	if n.confirmed.IsZero() {
		return 0
	}
	return uint32(max(1, n.now.Sub(n.confirmed).Milliseconds()))
}

func (r *record) healthy() bool {
	return r.State == pb.MemberState_ALIVE || r.State == pb.MemberState_LEAVING
}

func (n *Node) addQueued(p *packer, to *record) {
	limit := int(retransmitFactor * math.Ceil(math.Log10(float64(len(n.table.sorted)+1))))
	n.queue.takeNext(limit, func(vm string) bool {
		if vm == n.self.VM || to != nil && vm == to.VM {
			// The sender's own record is in every datagram, and the receiver knows itself.
			return true
		}
		return n.addWithinBudget(p, n.table.get(vm).changeUpdate(), 0)
	})
}

// addSyncUpdates adds the members of differing buckets. It starts at a random member, so
// that a bucket that exceeds the datagram is sent completely over several datagrams.
// Deaths are marked second-hand.
func (n *Node) addSyncUpdates(p *packer, digest []uint32) {
	count := len(n.table.sorted)
	start := n.rand.IntN(count)
	for i := range count {
		r := n.table.sorted[(start+i)%count]
		if digest[r.bucket] == n.table.digest[r.bucket] || r.Incarnation == 0 || r == n.self {
			continue
		}
		u := r.syncUpdate()
		u.SecondHand = r.State == pb.MemberState_DEAD
		// Queued updates are urgent; sync updates leave one second of the rate for them.
		if !n.addWithinBudget(p, u, n.budget.rate) {
			return
		}
	}
}

// addWithinBudget adds an update if it fits and the budget keeps at least reserve bytes.
func (n *Node) addWithinBudget(p *packer, u *pb.MemberUpdate, reserve float64) bool {
	size := updateSize(u)
	if size > p.room || !n.budget.spend(size, reserve) {
		return false
	}
	return p.add(u)
}

// packer adds updates to a datagram while they fit into the remaining room in bytes.
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
	return protowire.SizeTag(updatesFieldNumber) + protowire.SizeBytes(proto.Size(u))
}
