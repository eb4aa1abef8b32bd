package owner

import "sycamorekeel.example/sycamorekeel/internal/contract"

// Role is the relation of a VM to an upstream.
type Role int

const (
	// RoleNone means that the VM sends no requests to the upstream.
	RoleNone Role = iota
	// RoleStandby means that the VM has one slot, used when the owner fails.
	RoleStandby
	// RoleOwner means that the VM is the owner.
	RoleOwner
)

// Grant is the share of an upstream's capacity that a VM may use.
type Grant struct {
	Role Role
	// Slots is the maximum number of concurrent requests; 0 refuses all.
	Slots int
	// Connections is the maximum number of open connections, including those
	// for probes and cancellations.
	Connections int
}

const (
	// spareConnections is the number of connections of the owner beyond its
	// slots: one for probes and cancellations, and one so that a request does
	// not wait for a connection that is being returned to the pool.
	spareConnections = 2
	// standbyConnections covers the standby's slot and one connection for
	// cancellations.
	standbyConnections = 2
	// minConnectionsForStandby is the number of published connections below
	// which a standby gets none.
	minConnectionsForStandby = 4
)

// GrantFor divides an upstream's published slots and connections by role. The
// owner takes no more connections than its slots can use, even when more are
// published: while two VMs both consider themselves the owner, their connections
// together stay within the published number without any coordination.
func GrantFor(role Role, u *contract.Upstream) Grant {
	reserve := 0
	if u.Connections >= minConnectionsForStandby {
		reserve = standbyConnections
	}
	switch {
	case role == RoleOwner:
		conns := min(u.Slots+spareConnections, u.Connections-reserve)
		return Grant{Role: RoleOwner, Slots: min(u.Slots, max(1, conns-1)), Connections: conns}
	case role == RoleStandby && reserve > 0:
		return Grant{Role: RoleStandby, Slots: 1, Connections: reserve}
	default:
		return Grant{}
	}
}
