package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sycamorekeel.example/sycamorekeel/internal/admission"
	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/homeset"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
	"sycamorekeel.example/sycamorekeel/internal/share"
)

const (
	// wrongVMRetry is when a caller that reached a VM outside its home set may
	// come back: at once, after it has asked for endpoints.
	wrongVMRetry = 10 * time.Millisecond
	// longestFill bounds how long a VM waits after a start for the first token
	// of each kind before it says that it is ready.
	longestFill = 2 * time.Second
)

// shares admits requests within this VM's share of every limit and steps the
// protocol that moves shares between the home VMs.
//
// Lock order: shares.mu is a leaf. It guards the shares and the admission
// together, so that a share is in force here before a peer hears of it.
type shares struct {
	d      *Daemon
	timing share.Timing
	homes  atomic.Pointer[homes]
	met    *shareMetrics
	ready  atomic.Bool

	mu         sync.Mutex
	state      *share.State
	controller *admission.Controller
	// served is the kinds of the customers whose home this VM is.
	served []share.Kind
}

func newShares(d *Daemon, timing share.Timing) *shares {
	s := &shares{
		timing: timing,
		d:      d,
		met:    newShareMetrics(d.registry),
		state: share.New(share.Options{
			VM:          d.settings.Vm,
			Incarnation: d.incarnation,
			Started:     time.Now(),
			Timing:      timing,
		}),
		controller: admission.New(int(d.settings.Limits.MaxQueries)),
	}
	s.homes.Store(&homes{})
	return s
}

// configure takes a new snapshot in force.
func (s *shares) configure(snap *contract.Snapshot) {
	h := homesOf(snap)
	var limits []share.Limit
	var served []share.Kind
	weights := map[string]int{}
	for _, c := range snap.Customers() {
		set := h.sets[c.Name]
		members := set.Names()
		for _, k := range c.Kinds {
			limits = append(limits, share.Limit{
				Kind:    admission.KindOf(k),
				Amount:  admission.LimitOf(k),
				Members: members,
				Hold:    k.Deadline(),
			})
			if set.Contains(s.d.settings.Vm) {
				served = append(served, admission.KindOf(k))
				weights[c.Name] += int(k.Weight)
			}
		}
	}
	s.homes.Store(h)
	s.mu.Lock()
	s.controller.SetWeights(weights)
	s.served = served
	s.mu.Unlock()
	s.step(share.Configured{Limits: limits})
}

// home is the customer's home set.
func (s *shares) home(customer string) homeset.Set {
	return s.homes.Load().sets[customer]
}

// notReady says why no share may be used yet after a start, or is empty. Ready
// means that a first request of each kind is let in.
func (s *shares) notReady() string {
	if s.ready.Load() {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.state.Settled(now) {
		return "this VM waits until the loans of its former incarnation have ended"
	}
	if !s.filled(now) && !s.state.Settled(now.Add(-longestFill)) {
		return "this VM's part of a low rate does not allow a first request yet"
	}
	s.ready.Store(true)
	return ""
}

// filled tells whether each kind that is served here would be let in. The
// caller holds mu.
func (s *shares) filled(now time.Time) bool {
	for _, kind := range s.served {
		if !s.controller.Ready(now, kind) {
			return false
		}
	}
	return true
}

// run ticks until ctx ends.
func (s *shares) run(ctx context.Context) error {
	tick := time.NewTicker(s.timing.Tick())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			s.step(nil)
		}
	}
}

// loan takes a loan of a peer.
func (s *shares) loan(from *pb.Hello, m *pb.ShareLoan) {
	s.met.received.WithLabelValues("loan").Inc()
	s.step(share.Lent{From: from.Vm, Message: m})
}

// ack takes a peer's confirmation or its demand.
func (s *shares) ack(from *pb.Hello, m *pb.ShareAck) {
	s.met.received.WithLabelValues("ack").Inc()
	s.step(share.Ack{From: from.Vm, Message: m})
}

// step takes an event in, nil being a tick. Shares are set under the lock that
// admits requests, and messages go out after it: what is lent is out of use
// before the borrower can hear of it.
func (s *shares) step(e share.Event) {
	s.mu.Lock()
	now := time.Now()
	if e == nil {
		e = share.Tick{Usage: func(k share.Kind) share.Usage { return s.controller.Usage(now, k) }}
	}
	actions := s.state.Step(now, e)
	for _, a := range actions {
		if a, ok := a.(share.Set); ok {
			s.set(now, a)
		}
	}
	s.mu.Unlock()
	for _, a := range actions {
		s.send(a)
	}
}

// set puts a share in force. The caller holds mu.
func (s *shares) set(now time.Time, a share.Set) {
	s.controller.SetShare(now, a.Kind, a.Share)
	if a.Share.Base == (share.Amount{}) && len(a.Share.Loans) == 0 {
		s.controller.Remove(a.Kind)
	}
}

func (s *shares) send(a share.Action) {
	switch a := a.(type) {
	case share.SendAck:
		s.frame(a.To, a.Message.Customer, "ack", &pb.Frame{Body: &pb.Frame_ShareAck{ShareAck: a.Message}})
	case share.SendLoan:
		s.frame(a.To, a.Message.Customer, "loan", &pb.Frame{Body: &pb.Frame_ShareLoan{ShareLoan: a.Message}})
	}
}

// frame sends to a home VM at its published address; what is lost is made good
// by a later request or by the end of the lease.
func (s *shares) frame(to, customer, what string, f *pb.Frame) {
	set := s.home(customer)
	i := set.Index(to)
	if i < 0 || !s.d.pool.Send(set.VMs[i].PeerAddress, f) {
		s.met.unsent.Inc()
		return
	}
	s.met.sent.WithLabelValues(what).Inc()
}

// Admit starts a request or says why it may not start.
func (s *shares) Admit(k *contract.Kind, budget time.Duration) *refusal.Error {
	if !s.home(k.Customer).Contains(s.d.settings.Vm) {
		return refusal.New(refusal.WrongVM, "this VM does not serve the customer; ask for endpoints").After(wrongVMRetry)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// The time is read under the lock: one read before it could be old, and a
	// loan that has ended would still count.
	return s.controller.Admit(time.Now(), k, budget)
}

// Done ends an admitted request.
func (s *shares) Done(k *contract.Kind, took time.Duration, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controller.Done(time.Now(), k, took, answered)
}

// shareMetrics counts the messages about shares.
type shareMetrics struct {
	sent     *prometheus.CounterVec
	received *prometheus.CounterVec
	unsent   prometheus.Counter
}

func newShareMetrics(r prometheus.Registerer) *shareMetrics {
	f := promauto.With(r)
	return &shareMetrics{
		sent: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_share_sent_total",
			Help: "Messages about shares sent to home VMs, by what they are.",
		}, []string{"message"}),
		received: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_share_received_total",
			Help: "Messages about shares of home VMs, by what they are.",
		}, []string{"message"}),
		unsent: f.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_share_unsent_total",
			Help: "Messages about shares that found no way to their VM.",
		}),
	}
}
