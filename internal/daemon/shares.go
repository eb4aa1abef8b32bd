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
	// wrongVMRetryAfter is the retry delay for callers that reached a VM outside their
	// home set. It is short, as they can retry as soon as they have fetched endpoints.
	wrongVMRetryAfter = 10 * time.Millisecond
	// maxFillWait is the maximum time that a starting VM waits for the first token
	// of each kind before it reports that it is ready.
	maxFillWait = 2 * time.Second
)

// shares admits requests within this VM's share of every limit and runs the
// protocol that moves shares between the home VMs.
//
// Lock order: shares.mu is a leaf. It guards the protocol state and the admission
// controller together, so that a changed share applies here before a peer is sent
// the change.
type shares struct {
	d       *Daemon
	timing  share.Timing
	homes   atomic.Pointer[homeSets]
	metrics *shareMetrics
	ready   atomic.Bool

	mu         sync.Mutex
	state      *share.State
	controller *admission.Controller
	// configuredAt is when the first configuration was applied, zero before.
	configuredAt time.Time
	// served lists the kinds of the customers whose home set contains this VM.
	served []share.Kind
}

func newShares(d *Daemon, timing share.Timing) *shares {
	s := &shares{
		timing:  timing,
		d:       d,
		metrics: newShareMetrics(d.registry),
		state: share.New(share.Options{
			VM:          d.settings.Vm,
			Incarnation: d.incarnation,
			Started:     time.Now(),
			Timing:      timing,
		}),
		controller: admission.New(int(d.settings.Limits.MaxQueries)),
	}
	s.homes.Store(&homeSets{})
	return s
}

// configure applies the home sets, weights and limits of a new snapshot.
func (s *shares) configure(snap *contract.Snapshot) {
	h := newHomeSets(snap)
	var limits []share.Limit
	var served []share.Kind
	weights := map[string]int{}
	for _, c := range snap.Customers() {
		set := h.sets[c.Name]
		members := set.Names()
		for _, k := range c.Kinds {
			limits = append(limits, share.Limit{
				Kind:        admission.KindOf(k),
				Amount:      admission.LimitOf(k),
				Members:     members,
				MaxDuration: k.Deadline(),
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
	if s.configuredAt.IsZero() {
		s.configuredAt = time.Now()
	}
	s.mu.Unlock()
	s.step(share.Configured{Limits: limits})
}

// home returns the customer's home set.
func (s *shares) home(customer string) homeset.Set {
	return s.homes.Load().sets[customer]
}

// notReady returns the reason why a starting VM may not use its shares yet, or "" if
// it may. It waits until the loans of the former incarnation have expired and until
// a first request of each kind would be admitted, the latter for maxFillWait at most after the
// loans have expired and the first configuration was applied.
func (s *shares) notReady() string {
	if s.ready.Load() {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.state.FormerLoansExpired(now) {
		return "this VM waits until the loans of its former incarnation have ended"
	}
	filling := now.Sub(s.configuredAt) < maxFillWait || !s.state.FormerLoansExpired(now.Add(-maxFillWait))
	if filling && !s.admitsServedKinds(now) {
		return "this VM's part of a low rate does not allow a first request yet"
	}
	s.ready.Store(true)
	return ""
}

// admitsServedKinds reports whether a request of each served kind would be admitted. The caller
// holds mu.
func (s *shares) admitsServedKinds(now time.Time) bool {
	for _, kind := range s.served {
		if !s.controller.TokenAvailable(now, kind) {
			return false
		}
	}
	return true
}

// run steps the protocol at every tick until ctx ends.
func (s *shares) run(ctx context.Context) error {
	tick := time.NewTicker(s.timing.TickInterval())
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

// handleLoan handles a loan from a peer.
func (s *shares) handleLoan(from *pb.Hello, m *pb.ShareLoan) {
	s.metrics.received.WithLabelValues("loan").Inc()
	s.step(share.LoanReceived{From: from.Vm, Message: m})
}

// handleAck handles a peer's confirmation of a loan or its demand for one.
func (s *shares) handleAck(from *pb.Hello, m *pb.ShareAck) {
	s.metrics.received.WithLabelValues("ack").Inc()
	s.step(share.AckReceived{From: from.Vm, Message: m})
}

// step passes an event to the protocol; nil is a tick. Shares change under the lock
// that admits requests, and messages are sent after its release, so that a lent
// amount is out of use here before the borrower can receive it.
func (s *shares) step(e share.Event) {
	s.mu.Lock()
	now := time.Now()
	if e == nil {
		e = share.Tick{Usage: func(k share.Kind) share.Usage { return s.controller.Usage(now, k) }}
	}
	actions := s.state.Step(now, e)
	for _, a := range actions {
		if a, ok := a.(share.ApplyShare); ok {
			s.set(now, a)
		}
	}
	s.mu.Unlock()
	for _, a := range actions {
		s.send(a)
	}
}

// set applies a share to the admission controller, and removes the kind if the share
// is empty. The caller holds mu.
func (s *shares) set(now time.Time, a share.ApplyShare) {
	s.controller.SetShare(now, a.Kind, a.Share)
	if a.Share.Base == (share.Amount{}) && len(a.Share.Loans) == 0 {
		s.controller.Remove(a.Kind)
	}
}

func (s *shares) send(a share.Action) {
	switch a := a.(type) {
	case share.SendAck:
		s.sendFrame(a.To, a.Message.Customer, "ack", &pb.Frame{Body: &pb.Frame_ShareAck{ShareAck: a.Message}})
	case share.SendLoan:
		s.sendFrame(a.To, a.Message.Customer, "loan", &pb.Frame{Body: &pb.Frame_ShareLoan{ShareLoan: a.Message}})
	}
}

// sendFrame sends a frame to a home VM at its published address. Lost frames are not
// resent: a later demand or the expiry of the lease corrects the shares.
func (s *shares) sendFrame(to, customer, what string, f *pb.Frame) {
	set := s.home(customer)
	i := set.Index(to)
	if i < 0 || !s.d.pool.Send(set.VMs[i].PeerAddress, f) {
		s.metrics.unsent.Inc()
		return
	}
	s.metrics.sent.WithLabelValues(what).Inc()
}

// Admit admits a request, or returns the refusal if it may not start.
func (s *shares) Admit(k *contract.Kind, budget time.Duration) *refusal.Error {
	if !s.home(k.Customer).Contains(s.d.settings.Vm) {
		return refusal.New(refusal.WrongVM, "this VM does not serve the customer; ask for endpoints").WithRetryAfter(wrongVMRetryAfter)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// Read the clock under the lock: a time read before a wait for the lock would
	// be stale, and a loan that has expired would still count.
	return s.controller.Admit(time.Now(), k, budget)
}

// Done releases an admitted request. took is its duration.
func (s *shares) Done(k *contract.Kind, took time.Duration, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controller.Done(time.Now(), k, took, answered)
}

// shareMetrics counts the messages of the share protocol.
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
