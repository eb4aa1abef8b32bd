package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/admission"
	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/homeset"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
)

// wrongVMRetry is when a caller that reached a VM outside its home set may
// come back: at once, after it has asked for endpoints.
const wrongVMRetry = 10 * time.Millisecond

// shares divides the customers' limits over their home VMs.
type shares struct {
	d     *Daemon
	homes atomic.Pointer[homes]
}

func newShares(d *Daemon) *shares {
	s := &shares{d: d}
	s.homes.Store(&homes{})
	return s
}

// configure takes a new snapshot in force.
func (s *shares) configure(snap *contract.Snapshot) {
	s.homes.Store(homesOf(snap))
}

// home is the customer's home set.
func (s *shares) home(customer string) homeset.Set {
	return s.homes.Load().sets[customer]
}

// run ticks until ctx ends.
func (s *shares) run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// loan takes a loan of a peer.
func (s *shares) loan(*pb.Hello, *pb.ShareLoan) {}

// ack takes a peer's confirmation or its demand.
func (s *shares) ack(*pb.Hello, *pb.ShareAck) {}

// Share is this VM's part of a kind's limits, or why it has none.
func (s *shares) Share(k *contract.Kind) (admission.Share, *refusal.Error) {
	set := s.home(k.Customer)
	if !set.Contains(s.d.settings.Vm) {
		e := refusal.New(refusal.WrongVM, "this VM does not serve the customer; ask for endpoints")
		return admission.Share{}, e.After(wrongVMRetry)
	}
	n := len(set.VMs)
	return admission.Share{
		Rate:        k.RatePerSecond / float64(n),
		Concurrency: max(1, int(k.Concurrency)/n),
	}, nil
}
