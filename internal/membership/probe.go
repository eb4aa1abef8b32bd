package membership

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

const (
	// lostEvery is how many periods pass between two probes of a member held
	// dead or of a seed: two halves of a healed partition find each other by it.
	lostEvery = 5
	// spreadPerPeriod is how many extra datagrams go out a period while there is
	// news.
	spreadPerPeriod = 2
	// relayLife is how many periods an indirect probe is remembered.
	relayLife = 2
)

// probe is the probe of this period.
type probe struct {
	id       uint64
	target   string
	sentAt   time.Time
	acked    bool
	indirect bool
}

// relay is an indirect probe made for a peer.
type relay struct {
	address string
	id      uint64
	at      time.Time
}

// advanceProbe ends the probe of the last period and starts the next.
func (n *Node) advanceProbe() {
	n.askOthers()
	if n.now.Before(n.nextProbe) {
		return
	}
	n.endProbe()
	n.nextProbe = n.now.Add(n.period())
	n.startProbe()
	n.probeAccused()
	n.nextLost++
	if n.nextLost >= lostEvery || n.unheard() {
		n.nextLost = 0
		n.probeLost()
	}
	for id, r := range n.relays {
		if n.now.Sub(r.at) >= relayLife*n.timing.Period {
			delete(n.relays, id)
		}
	}
}

// period is shorter until a first peer has been heard, so that a start does not
// wait for its turn.
func (n *Node) period() time.Duration {
	if n.unheard() {
		return n.timing.DirectTimeout
	}
	return n.timing.Period
}

func (n *Node) unheard() bool { return n.heardAt.IsZero() }

func (n *Node) askOthers() {
	p := n.pending
	if p == nil || p.acked || p.indirect || n.now.Sub(p.sentAt) < n.timing.DirectTimeout {
		return
	}
	p.indirect = true
	for _, r := range n.pick(n.timing.Indirect, func(r *record) bool { return r.serves() && r.VM != p.target }) {
		n.stats.IndirectProbes++
		body := &pb.ProbeRequest{Id: p.id, Target: p.target}
		n.send(r.PeerAddress, &pb.Datagram{Body: &pb.Datagram_ProbeRequest{ProbeRequest: body}}, r)
	}
}

func (n *Node) endProbe() {
	p := n.pending
	n.pending = nil
	if p == nil || p.acked {
		return
	}
	if r := n.table.get(p.target); r != nil {
		n.fail(r, n.heardAt.Before(p.sentAt))
	}
}

func (n *Node) startProbe() {
	n.lookNear()
	r := n.farTurn()
	if r == nil {
		r = n.nextInRing()
	}
	if r == nil {
		return
	}
	n.stats.Probes++
	id := n.probe(r)
	n.pending = &probe{id: id, target: r.VM, sentAt: n.now}
}

// probe sends a probe to a member and returns its id.
func (n *Node) probe(r *record) uint64 {
	n.send(r.PeerAddress, n.newProbe(r.VM), r)
	return n.lastID
}

func (n *Node) newProbe(target string) *pb.Datagram {
	n.lastID++
	body := &pb.Probe{Id: n.lastID, Target: target, Digest: append([]uint32(nil), n.table.digest[:]...)}
	return &pb.Datagram{Body: &pb.Datagram_Probe{Probe: body}}
}

// nextInRing goes round the members in an order shuffled anew each round: each
// is probed once a round, which bounds the time until a death is noticed.
func (n *Node) nextInRing() *record {
	for range 2 {
		for len(n.ring) > 0 {
			name := n.ring[len(n.ring)-1]
			n.ring = n.ring[:len(n.ring)-1]
			if r := n.table.get(name); r != nil && r != n.self && r.State != pb.MemberState_DEAD && n.inRing(r) {
				return r
			}
		}
		n.round()
	}
	return nil
}

// probeAccused asks the members that this node itself suspects again: one that
// is alive learns of the suspicion and refutes it, in time for the refutation to
// reach everybody. Left to chance, it would often hear of it too late.
func (n *Node) probeAccused() {
	for _, r := range n.pick(n.timing.Indirect, func(r *record) bool { return r.accused }) {
		n.probe(r)
	}
}

// enterRing puts a new or returned member at a random place of this round.
func (n *Node) enterRing(r *record) {
	if !n.inRing(r) {
		return
	}
	n.ring = append(n.ring, r.VM)
	i, last := n.rand.IntN(len(n.ring)), len(n.ring)-1
	n.ring[i], n.ring[last] = n.ring[last], n.ring[i]
}

// probeLost probes one address at which no live member is known: that of a
// member held dead, one that the list gives, this VM's own name included, or a
// seed. Without the list's, processes that were all replaced elsewhere while
// they were paused would keep to themselves.
func (n *Node) probeLost() {
	var addresses []string
	known := map[string]bool{n.self.PeerAddress: true}
	for _, r := range n.table.sorted {
		if r.State != pb.MemberState_DEAD {
			known[r.PeerAddress] = true
		}
	}
	add := func(address string) {
		if !known[address] {
			known[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, r := range n.table.sorted {
		add(r.PeerAddress)
		if r.listed != nil {
			add(r.listed.PeerAddress)
		}
	}
	for _, seed := range n.opts.Seeds {
		add(seed)
	}
	if len(addresses) == 0 {
		return
	}
	address := addresses[n.rand.IntN(len(addresses))]
	n.send(address, n.newProbe(""), n.byAddress(address))
}

// byAddress finds the dead member at an address, so that it is told what is
// held of it and can refute it.
func (n *Node) byAddress(address string) *record {
	for _, r := range n.table.sorted {
		if r.PeerAddress == address && r.State == pb.MemberState_DEAD {
			return r
		}
	}
	return nil
}

// answer replies to the body of a datagram.
func (n *Node) answer(d *pb.Datagram) {
	sender := n.table.get(d.Sender.Vm)
	switch b := d.Body.(type) {
	case *pb.Datagram_Probe:
		if b.Probe.Target != "" && b.Probe.Target != n.self.VM {
			return
		}
		ack := &pb.Datagram{Body: &pb.Datagram_Ack{Ack: &pb.ProbeAck{Id: b.Probe.Id}}}
		n.sendSync(d.Sender.PeerAddress, ack, sender, b.Probe.Digest)
	case *pb.Datagram_Ack:
		n.acked(b.Ack.Id, d.Sender.Vm)
	case *pb.Datagram_ProbeRequest:
		target := n.table.get(b.ProbeRequest.Target)
		if target == nil || target == n.self {
			return
		}
		id := n.probe(target)
		n.relays[id] = relay{address: d.Sender.PeerAddress, id: b.ProbeRequest.Id, at: n.now}
	}
}

func (n *Node) acked(id uint64, from string) {
	if p := n.pending; p != nil && p.id == id {
		p.acked = true
	}
	if n.doubt != nil {
		n.doubt.acked(id, from)
	}
	r, ok := n.relays[id]
	if !ok {
		return
	}
	delete(n.relays, id)
	n.send(r.address, &pb.Datagram{Body: &pb.Datagram_Ack{Ack: &pb.ProbeAck{Id: r.id}}}, nil)
}

// advanceSpread sends news on its own, besides the probes, while there is any.
func (n *Node) advanceSpread() {
	if n.hot.empty() || n.now.Before(n.nextSpread) {
		return
	}
	n.nextSpread = n.now.Add(n.timing.Period / spreadPerPeriod)
	for _, r := range n.newsTo() {
		n.send(r.PeerAddress, &pb.Datagram{}, r)
	}
}
