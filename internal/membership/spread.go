package membership

import (
	"math"
	"sort"
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

// queue holds the members whose state still has to be spread and how often it
// was sent.
type queue struct {
	sent map[string]int
}

func newQueue() queue { return queue{sent: map[string]int{}} }

func (q *queue) put(vm string)  { q.sent[vm] = 0 }
func (q *queue) drop(vm string) { delete(q.sent, vm) }
func (q *queue) empty() bool    { return len(q.sent) == 0 }

// order lists the members, least sent first.
func (q *queue) order() []string {
	names := make([]string, 0, len(q.sent))
	for vm := range q.sent {
		names = append(names, vm)
	}
	sort.Slice(names, func(i, j int) bool {
		if a, b := q.sent[names[i]], q.sent[names[j]]; a != b {
			return a < b
		}
		return names[i] < names[j]
	})
	return names
}

// mark counts one sending and drops what was sent often enough.
func (q *queue) mark(vm string, limit int) {
	q.sent[vm]++
	if q.sent[vm] >= limit {
		delete(q.sent, vm)
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

func (b *budget) spend(bytes int) bool {
	if b.tokens < float64(bytes) {
		return false
	}
	b.tokens -= float64(bytes)
	return true
}

func (n *Node) send(address string, d *pb.Datagram, to *record) {
	n.sendSync(address, d, to, nil)
}

// sendSync completes a datagram with this node's own record, with what is held
// against the receiver, and with as many updates as fit.
func (n *Node) sendSync(address string, d *pb.Datagram, to *record, sync []*pb.MemberUpdate) {
	if n.superseded || address == "" {
		return
	}
	d.Sender = n.self.update()
	d.ConfigRevision = n.revision
	p := packer{datagram: d, room: MaxDatagram - SignatureBytes - sequenceBytes - proto.Size(d)}
	if to != nil && to != n.self && !to.healthy() {
		p.add(to.update())
	}
	n.addHot(&p, to)
	for _, u := range sync {
		if size := updateSize(u); size > p.room || !n.budget.spend(size) {
			break
		}
		p.add(u)
	}
	n.out.Sends = append(n.out.Sends, Send{Address: address, Datagram: d})
}

func (r *record) healthy() bool {
	return r.State == pb.MemberState_ALIVE || r.State == pb.MemberState_LEAVING
}

func (n *Node) addHot(p *packer, to *record) {
	limit := int(spreadFactor * math.Ceil(math.Log10(float64(len(n.table.names)+1))))
	for _, vm := range n.hot.order() {
		if to != nil && vm == to.VM {
			continue
		}
		if vm == n.self.VM {
			// Every datagram carries it already.
			n.hot.mark(vm, limit)
			continue
		}
		u := n.table.get(vm).update()
		if size := updateSize(u); size > p.room || !n.budget.spend(size) {
			return
		}
		p.add(u)
		n.hot.mark(vm, limit)
	}
}

// packer fills a datagram up to its room.
type packer struct {
	datagram *pb.Datagram
	room     int
}

func (p *packer) add(u *pb.MemberUpdate) {
	size := updateSize(u)
	if size > p.room {
		return
	}
	p.room -= size
	p.datagram.Updates = append(p.datagram.Updates, u)
}

func updateSize(u *pb.MemberUpdate) int {
	return protowire.SizeTag(updatesField) + protowire.SizeBytes(proto.Size(u))
}
