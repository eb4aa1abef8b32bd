package daemon

import (
	"context"

	"sycamorekeel.example/sycamorekeel/internal/admission"
	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// shares divides a kind's limits evenly over the VMs.
type shares struct{ d *Daemon }

// run ticks until ctx ends.
func (s *shares) run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// loan takes a loan of a peer.
func (s *shares) loan(*pb.Hello, *pb.ShareLoan) {}

// ack takes a peer's confirmation or its demand.
func (s *shares) ack(*pb.Hello, *pb.ShareAck) {}

// Share is this VM's part of a kind's limits.
func (s *shares) Share(k *contract.Kind) admission.Share {
	n := max(1, len(s.d.view.Load().Serving()))
	return admission.Share{
		Rate:        k.RatePerSecond / float64(n),
		Concurrency: max(1, int(k.Concurrency)/n),
	}
}
