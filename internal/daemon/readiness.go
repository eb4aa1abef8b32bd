package daemon

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// updateStatus passes the status of an upstream to the router. The status comes from
// the upstream's owner, on this VM or on a peer.
func (d *Daemon) updateStatus(st *pb.UpstreamStatus) {
	d.router.RecordStatus(time.Now(), st)
}
