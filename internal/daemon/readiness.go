package daemon

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// learnStatus takes the status of an upstream from its owner, this VM's or
// another's.
func (d *Daemon) learnStatus(st *pb.UpstreamStatus) {
	d.router.Status(time.Now(), st)
}
