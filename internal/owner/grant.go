package owner

import "sycamorekeel.example/sycamorekeel/internal/contract"

// Role is what a VM is to an upstream.
type Role int

const (
	// None: it sends nothing there.
	None Role = iota
	// Standby: it has one slot in reserve for when the owner fails.
	Standby
	// Main: it is the owner.
	Main
)

// Grant is what a VM may use of an upstream.
type Grant struct {
	Role Role
	// Slots is how many requests it may run at a time; 0 refuses all.
	Slots int
	// Connections is how many it may have open, probes and cancellations
	// included.
	Connections int
}

const (
	// ownerSpare are the owner's connections beyond its slots: one for probes
	// and cancellations, one that keeps a request from waiting for a
	// connection that is being given back.
	ownerSpare = 2
	// standbyConnections are one for its slot and one to cancel on.
	standbyConnections = 2
	// leastForStandby is the number of connections from which on a standby
	// gets any.
	leastForStandby = 4
)

// GrantFor divides an upstream's published slots and connections by role. The
// owner takes no more connections than its slots can use, although more are
// published: while two VMs both believe that they own the upstream, both stay
// within the published number, as nobody has to learn of the other for that.
func GrantFor(role Role, u *contract.Upstream) Grant {
	reserve := 0
	if u.Connections >= leastForStandby {
		reserve = standbyConnections
	}
	switch {
	case role == Main:
		conns := min(u.Slots+ownerSpare, u.Connections-reserve)
		return Grant{Role: Main, Slots: min(u.Slots, max(1, conns-1)), Connections: conns}
	case role == Standby && reserve > 0:
		return Grant{Role: Standby, Slots: 1, Connections: reserve}
	default:
		return Grant{}
	}
}
