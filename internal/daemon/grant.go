package daemon

import (
	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/owner"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// grant returns the capacity of an upstream that this VM may use now.
func (d *Daemon) grant(u *contract.Upstream) owner.Grant {
	if d.settings.Routing == pb.Routing_DIRECT {
		return directGrant(u, len(d.view.Load().Serving()))
	}
	p := d.grantTable().Place(u.ID)
	switch d.settings.Vm {
	case p.Owner:
		return owner.GrantFor(owner.RoleOwner, u)
	case p.Standby:
		return owner.GrantFor(owner.RoleStandby, u)
	default:
		return owner.GrantFor(owner.RoleNone, u)
	}
}

// directGrant divides the capacity of an upstream evenly over the VMs. It is used
// with direct routing, the baseline for comparisons.
func directGrant(u *contract.Upstream, vms int) owner.Grant {
	vms = max(1, vms)
	return owner.Grant{
		Role:        owner.RoleOwner,
		Slots:       max(1, u.Slots/vms),
		Connections: max(1, u.Connections/vms),
	}
}
