package gossip

import (
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Reasons for which an update of a list is dropped, beside Malformed.
const (
	// OwnAddress updates give this VM's address to another one.
	OwnAddress Reason = "own_address"
	// RepeatedAddress updates give an address to a VM that a newer process of another one
	// has.
	RepeatedAddress Reason = "repeated_address"
)

// listed is what is good of a list of members, and what is dropped, by reason. A list with
// an address that is not the member's own would send probes, pulls and callers to the
// wrong VM for as long as that answers: one notices VMs that hold two members alive where
// one answers. The newest process that claims an address has it.
func listed(self *pb.MemberUpdate, updates []*pb.MemberUpdate) (good []*pb.MemberUpdate, dropped map[Reason]int) {
	newest := map[string]*pb.MemberUpdate{}
	for _, u := range updates {
		if held := newest[u.GetPeerAddress()]; held == nil || held.Incarnation < u.GetIncarnation() {
			newest[u.GetPeerAddress()] = u
		}
	}
	dropped = map[Reason]int{}
	for _, u := range updates {
		if reason := unlikely(self, u, newest); reason != "" {
			dropped[reason]++
			continue
		}
		good = append(good, u)
	}
	return good, dropped
}

// unlikely says why an update of a list is not taken in, empty when it is.
func unlikely(self, u *pb.MemberUpdate, newest map[string]*pb.MemberUpdate) Reason {
	switch {
	case u == nil || !wellFormedUpdate(u):
		return Malformed
	case u.PeerAddress == "" || u.Vm == self.Vm:
		return ""
	case u.PeerAddress == self.PeerAddress:
		return OwnAddress
	case newest[u.PeerAddress].Vm != u.Vm:
		return RepeatedAddress
	default:
		return ""
	}
}

// tellDropped counts what was dropped of a list and logs it.
func (d *Driver) tellDropped(dropped map[Reason]int) {
	for reason, n := range dropped {
		d.met.dropped.WithLabelValues(string(reason)).Add(float64(n))
		d.log.Warn("gossip: updates of a list dropped", zap.String("reason", string(reason)), zap.Int("updates", n))
	}
}
