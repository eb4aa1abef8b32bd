package gossip

import (
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Reasons for dropping an update of a member list, in addition to Malformed.
const (
	// OwnAddress marks an update that gives this VM's peer address to another VM.
	OwnAddress Reason = "own_address"
	// RepeatedAddress marks an update whose peer address a newer process of
	// another VM claims.
	RepeatedAddress Reason = "repeated_address"
)

// filterUpdates splits a member list into valid updates and counts of the
// dropped ones by reason. An update with another VM's address would direct
// probes, pulls and callers to the wrong VM for as long as that VM answers; the
// symptom is two live members at one address. Of several VMs that claim an
// address, the process with the highest incarnation gets it.
func filterUpdates(self *pb.MemberUpdate, updates []*pb.MemberUpdate) (good []*pb.MemberUpdate, dropped map[Reason]int) {
	newest := map[string]*pb.MemberUpdate{}
	for _, u := range updates {
		if n := newest[u.GetPeerAddress()]; n == nil || n.Incarnation < u.GetIncarnation() {
			newest[u.GetPeerAddress()] = u
		}
	}
	dropped = map[Reason]int{}
	for _, u := range updates {
		if reason := checkUpdate(self, u, newest); reason != "" {
			dropped[reason]++
			continue
		}
		good = append(good, u)
	}
	return good, dropped
}

// checkUpdate returns the reason to drop an update of a list, or "" if it is
// valid. newest maps each peer address to the newest update that claims it.
func checkUpdate(self, u *pb.MemberUpdate, newest map[string]*pb.MemberUpdate) Reason {
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

// reportDropped counts and logs dropped updates.
func (d *Driver) reportDropped(dropped map[Reason]int) {
	for reason, n := range dropped {
		d.met.dropped.WithLabelValues(string(reason)).Add(float64(n))
		d.log.Warn("gossip: updates of a list dropped", zap.String("reason", string(reason)), zap.Int("updates", n))
	}
}
