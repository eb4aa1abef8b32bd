package membership

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

const (
	// reconnectInterval is the number of periods between two probes of a dead member or
	// a seed. These probes rejoin the two sides of a healed partition.
	reconnectInterval = 5
	// disseminationsPerPeriod is the number of datagrams per period that carry queued
	// updates besides the probes.
	disseminationsPerPeriod = 2
	// relayPeriods is the number of periods after which an indirect probe is dropped.
	relayPeriods = 2
)

// probe is this node's own probe of the current period.
type probe struct {
	id       uint64
	target   string
	sentAt   time.Time
	acked    bool
	indirect bool
}

// relay is an indirect probe made on behalf of a peer.
type relay struct {
	address string
	id      uint64
	at      time.Time
}

// advanceProbe finishes the probe of the last period and starts the next one.
func (n *Node) advanceProbe() {
	n.sendIndirectProbes()
	if n.now.Before(n.nextProbe) {
		return
	}
	n.finishProbe()
	n.nextProbe = n.now.Add(n.period())
	n.startProbe()
	n.reprobeSuspects()
	n.sinceReconnect++
	if n.sinceReconnect >= reconnectInterval || n.hasNoContact() {
		n.sinceReconnect = 0
		n.probeReconnect()
	}
	for id, r := range n.relays {
		if n.now.Sub(r.at) >= relayPeriods*n.timing.Period {
			delete(n.relays, id)
		}
	}
}

// period returns a shorter interval until the first datagram is received, so that a
// starting node finds its peers quickly.
func (n *Node) period() time.Duration {
	if n.hasNoContact() {
		return n.timing.DirectTimeout
	}
	return n.timing.Period
}

func (n *Node) hasNoContact() bool { return n.lastReceived.IsZero() }

func (n *Node) sendIndirectProbes() {
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

func (n *Node) finishProbe() {
	p := n.pending
	n.pending = nil
	if p == nil || p.acked {
		return
	}
	if r := n.table.get(p.target); r != nil {
		n.handleProbeFailure(r, n.lastReceived.Before(p.sentAt))
	}
}

func (n *Node) startProbe() {
	n.updatePreferLocal()
	r := n.nextRemoteTarget()
	if r == nil {
		r = n.nextInRing()
	}
	if r == nil {
		return
	}
	n.stats.Probes++
	id := n.sendProbe(r)
	n.pending = &probe{id: id, target: r.VM, sentAt: n.now}
}

// sendProbe sends a probe to a member and returns its id.
func (n *Node) sendProbe(r *record) uint64 {
	n.send(r.PeerAddress, n.newProbe(r.VM), r)
	return n.lastID
}

func (n *Node) newProbe(target string) *pb.Datagram {
	n.lastID++
	body := &pb.Probe{Id: n.lastID, Target: target, Digest: append([]uint32(nil), n.table.digest[:]...)}
	return &pb.Datagram{Body: &pb.Datagram_Probe{Probe: body}}
}

// nextInRing returns the next member of the current round. Each member is probed once
// per round, which bounds the time to detect a failure; each round has a new order.
func (n *Node) nextInRing() *record {
	for range 2 {
		for len(n.ring) > 0 {
			name := n.ring[len(n.ring)-1]
			n.ring = n.ring[:len(n.ring)-1]
			if r := n.table.get(name); r != nil && r != n.self && r.State != pb.MemberState_DEAD && n.inRing(r) {
				return r
			}
		}
		n.startRound()
	}
	return nil
}

// reprobeSuspects probes again members that this node itself suspects. A live one learns
// of the suspicion and refutes it, early enough for the refutation to reach every
// node. By random dissemination alone, it would often learn of it too late.
func (n *Node) reprobeSuspects() {
	for _, r := range n.pick(n.timing.Indirect, func(r *record) bool { return r.suspectedBySelf }) {
		n.sendProbe(r)
	}
}

// addToRing inserts a new or returned member at a random position of this round.
func (n *Node) addToRing(r *record) {
	if !n.inRing(r) {
		return
	}
	n.ring = append(n.ring, r.VM)
	i, last := n.rand.IntN(len(n.ring)), len(n.ring)-1
	n.ring[i], n.ring[last] = n.ring[last], n.ring[i]
}

// probeReconnect probes one address at which no live member is known: the address of a
// dead member, an address on the platform's list, that of this VM's own entry
// included, or a seed. Without the listed addresses, processes that were all replaced
// elsewhere while they were paused would never contact their successors.
func (n *Node) probeReconnect() {
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
	n.send(address, n.newProbe(""), n.deadMemberAt(address))
}

// deadMemberAt returns the dead member at an address, so that the probe carries its
// state and it can refute that.
func (n *Node) deadMemberAt(address string) *record {
	for _, r := range n.table.sorted {
		if r.PeerAddress == address && r.State == pb.MemberState_DEAD {
			return r
		}
	}
	return nil
}

// handleBody processes the probe, acknowledgement or probe request of a datagram.
func (n *Node) handleBody(d *pb.Datagram) {
	sender := n.table.get(d.Sender.Vm)
	switch b := d.Body.(type) {
	case *pb.Datagram_Probe:
		if b.Probe.Target != "" && b.Probe.Target != n.self.VM {
			return
		}
		ack := &pb.Datagram{Body: &pb.Datagram_Ack{Ack: &pb.ProbeAck{Id: b.Probe.Id}}}
		n.sendWithSync(d.Sender.PeerAddress, ack, sender, b.Probe.Digest)
	case *pb.Datagram_Ack:
		n.handleAck(b.Ack.Id, d.Sender.Vm)
	case *pb.Datagram_ProbeRequest:
		target := n.table.get(b.ProbeRequest.Target)
		if target == nil || target == n.self {
			return
		}
		id := n.sendProbe(target)
		n.relays[id] = relay{address: d.Sender.PeerAddress, id: b.ProbeRequest.Id, at: n.now}
	}
}

func (n *Node) handleAck(id uint64, from string) {
	if p := n.pending; p != nil && p.id == id {
		p.acked = true
	}
	if n.revalidation != nil {
		n.revalidation.handleAck(id, from)
	}
	r, ok := n.relays[id]
	if !ok {
		return
	}
	delete(n.relays, id)
	n.send(r.address, &pb.Datagram{Body: &pb.Datagram_Ack{Ack: &pb.ProbeAck{Id: r.id}}}, nil)
}

// advanceDissemination sends queued updates in datagrams of their own while there are any.
func (n *Node) advanceDissemination() {
	if n.queue.empty() || n.now.Before(n.nextDissemination) {
		return
	}
	n.nextDissemination = n.now.Add(n.timing.Period / disseminationsPerPeriod)
	for _, r := range n.disseminationTargets() {
		n.send(r.PeerAddress, &pb.Datagram{}, r)
	}
}
