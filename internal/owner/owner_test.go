package owner

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/dispatch"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

func TestGrantsStayWithinThePublishedNumbers(t *testing.T) {
	g := NewWithT(t)
	for conns := 1; conns <= 60; conns++ {
		for slots := 1; slots <= min(conns, 8); slots++ {
			u := &contract.Upstream{Slots: slots, Connections: conns}
			main, standby := GrantFor(RoleOwner, u), GrantFor(RoleStandby, u)
			g.Expect(main.Connections+standby.Connections).To(BeNumerically("<=", conns), "%d slots, %d connections", slots, conns)
			g.Expect(main.Slots).To(BeNumerically("<=", max(1, main.Connections-1)))
			g.Expect(main.Slots).To(BeNumerically(">=", 1))
			if conns >= 2*(slots+spareConnections)+standbyConnections {
				g.Expect(2*main.Connections+standby.Connections).To(BeNumerically("<=", conns), "two owners at once")
			}
		}
	}
}

// Failure: a non-idempotent operation, such as a payment, runs twice. The frame of
// one sub-request arrives three times: the second time while the first is queued or
// running, the third after its reply. Every arrival was dispatched.
func TestDuplicateFrame(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{slots: 3, connections: 40})
	first, release := r.hold(1)
	second := r.send(1)
	release()
	g.Expect((<-first).Result).To(Equal(pb.Result_OK))
	third := r.send(1)
	g.Expect((<-third).Result).To(Equal(pb.Result_UNKNOWN))
	g.Expect(second).To(BeEmpty(), "only the first call is answered")
	g.Expect(first).To(BeEmpty())
	g.Expect(r.runCount(1)).To(Equal(1))
}

// Failure: a cancelled request runs after its caller was answered that it did not.
// The cancellation arrives before its request, and a cancellation of an unknown id
// was dropped.
func TestCancelBeforeRequest(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{slots: 3, connections: 40})
	r.cancel(1)
	g.Expect((<-r.send(1)).Result).To(Equal(pb.Result_CANCELLED))
	g.Expect(r.runCount(1)).To(BeZero())
	g.Expect((<-r.send(2)).Result).To(Equal(pb.Result_OK), "other requests are unaffected")
}

// Failure: a slot stays occupied by a request without a waiting caller. The only
// slot runs a slow request, which is cancelled while another is queued. The
// cancellation only reached the queue.
func TestCancelFreesTheSlot(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{slots: 1, connections: 40})
	first, _ := r.hold(1)
	waiting, cancelled := r.send(2), r.send(3)
	r.cancel(3)
	g.Expect((<-cancelled).Result).To(Equal(pb.Result_CANCELLED))
	r.cancel(1)
	g.Expect((<-first).Result).To(Equal(pb.Result_UPSTREAM_ERROR))
	g.Expect((<-waiting).Result).To(Equal(pb.Result_OK))
	g.Expect(r.server.Cancelled()).To(Equal(int64(1)))
	g.Expect(r.runCount(3)).To(BeZero())
	g.Expect(r.server.Peak()).To(BeNumerically("<=", 2), "the cancellation went over the control connection")
}

// Failure: a draining upstream still gets work. It announces that it drains while
// one request runs and two are queued. The queued ones were sent, or the
// announcement had no effect until the next probe.
func TestUpstreamLeaving(t *testing.T) {
	for name, c := range map[string]struct {
		behaviour standin.Behaviour
		announce  func(r *rig)
	}{
		"in the header of a reply": {standin.Behaviour{AnnounceDrain: true}, func(*rig) {}},
		"by the operators":         {standin.Behaviour{}, func(r *rig) { r.apply(true) }},
		"in its health": {standin.Behaviour{}, func(r *rig) {
			r.server.Change(func(b *standin.Behaviour) { b.Draining = true })
			r.executor().probe()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRig(t, rigConfig{slots: 1, connections: 40, behaviour: c.behaviour})
			running, release := r.hold(1)
			waiting := []<-chan *pb.SubReply{r.send(2), r.send(3)}
			c.announce(r)
			release()
			g.Expect((<-running).Result).To(Equal(pb.Result_OK), "the running request is not interrupted")
			for _, w := range waiting {
				g.Expect((<-w).Result).To(Equal(pb.Result_UPSTREAM_LEAVING))
			}
			g.Expect((<-r.send(4)).Result).To(Equal(pb.Result_UPSTREAM_LEAVING))
			g.Expect(r.runCount(2) + r.runCount(3) + r.runCount(4)).To(BeZero())
			g.Expect(r.reportedStates()).To(HaveExactElements("DRAINING"))
		})
	}
}

// Failure: a VM that lost an upstream keeps sending to it and keeps its
// connections in addition to those of the new owner. Ownership moves while two
// requests run and one is queued. Executors outlived their ownership.
func TestLostOwnership(t *testing.T) {
	for name, role := range map[string]Role{"to none": RoleNone, "to standby": RoleStandby} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRig(t, rigConfig{slots: 2, connections: 40})
			r.ramp()
			running, release := r.hold(1)
			_, release2 := r.hold(2)
			waiting := r.send(3)
			r.setRole(role)
			g.Expect((<-waiting).Result).To(Equal(pb.Result_NOT_OWNER))
			if role == RoleNone {
				g.Expect((<-r.send(4)).Result).To(Equal(pb.Result_NOT_OWNER))
			}
			release()
			release2()
			g.Expect((<-running).Result).To(Equal(pb.Result_OK))
			g.Expect(r.runCount(3)).To(BeZero())
			g.Eventually(func() int64 { r.tick(); return r.server.Open() }, waitTimeout).Should(BeZero())
			g.Expect(r.reportedStates()).To(HaveExactElements("READY", "lost"))
		})
	}
}

// Failure: an upstream has more connections than published after a change. Five
// connections are open, one of them in use, when the published number falls from 40
// to 4, which leaves the owner two, one of them a slot. The changed upstream was
// treated as a different one with connections of its own.
func TestFewerConnectionsPublished(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{slots: 5, connections: 40})
	r.ramp()
	held, release := r.hold(1)
	r.config.connections = 4
	r.apply(false)
	g.Eventually(r.server.Open, waitTimeout).Should(Equal(int64(1)))
	waiting := r.send(2)
	g.Expect(r.runCount(2)).To(BeZero())
	g.Expect(r.executor().queue.Len()).To(Equal(1))
	release()
	g.Expect((<-held).Result).To(Equal(pb.Result_OK))
	g.Expect((<-waiting).Result).To(Equal(pb.Result_OK))
	r.burst()
	g.Expect(r.server.Open()).To(BeNumerically("<=", 2))
}

// Failure: an upstream is overloaded by a change of owner, because the standby that
// takes over uses all published slots at once.
func TestTakeOverRamps(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{slots: 3, connections: 40})
	r.setRole(RoleNone)
	r.tick()
	r.setRole(RoleOwner)
	held, release := r.hold(1)
	waiting := r.send(2)
	g.Expect(r.executor().queue.Len()).To(Equal(1), "one slot at first")
	release()
	<-held
	<-waiting
	r.ramp()
}

// Failure: an upstream's published connections or slots are exceeded, or a
// sub-request that ran is reported as not run. Two busy VMs both consider
// themselves the owner. The limits assumed a single owner.
func TestTwoOwners(t *testing.T) {
	g := NewWithT(t)
	const slots, connections, each = 5, 40, 200
	a := newRig(t, rigConfig{vm: "a", realClock: true, slots: slots, connections: connections,
		behaviour: standin.Behaviour{Slots: slots, Median: time.Millisecond}})
	b := newRig(t, rigConfig{vm: "b", realClock: true, slots: slots, connections: connections, server: a.server})
	var mu sync.Mutex
	results := map[pb.Result]int{}
	var wg sync.WaitGroup
	for i, r := range []*rig{a, b} {
		for lane := range 8 {
			wg.Go(func() {
				for n := range each / 8 {
					id := uint64(i*10_000 + lane*1000 + n)
					rep := <-r.send(id)
					mu.Lock()
					results[rep.Result]++
					if rep.Result == pb.Result_SHED && r.runCount(id) > 0 {
						t.Errorf("sub-request %d ran but was answered as not run", id)
					}
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	g.Expect(results[pb.Result_OK] + results[pb.Result_SHED]).To(Equal(2 * each))
	g.Expect(int(a.server.Served())).To(Equal(results[pb.Result_OK]))
	g.Expect(a.server.Peak()).To(BeNumerically("<=", connections))
	g.Expect(a.server.MostRuns()).To(Equal(1))
}

// Failure: an upstream that sheds load gets as much as before, or gets nothing ever
// again. It sheds all requests for a while, then none. The limit was fixed, or did
// not recover.
func TestShedStorm(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{slots: 5, connections: 40})
	r.ramp()
	r.server.Change(func(b *standin.Behaviour) { b.ShedAll = true })
	for id := uint64(10); id < 30; id++ {
		g.Expect((<-r.send(id)).Result).To(Equal(pb.Result_SHED))
		g.Expect(r.runCount(id)).To(BeZero())
		r.advance(30 * time.Millisecond)
	}
	g.Expect(r.executor().limiter.Limit()).To(Equal(1))
	r.server.Change(func(b *standin.Behaviour) { b.ShedAll = false })
	r.ramp()
}

// Failure: an owner that was paused runs requests that were cancelled meanwhile.
// One request runs and three are queued when the process pauses for five seconds;
// the running one ends before the cancellation is read. Another request waited in
// the socket buffer, so its remaining time is the one at sending. Queued requests
// were dispatched before pending messages were read.
func TestPauseOfTheProcess(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{slots: 1, connections: 40})
	r.tick()
	running, release := r.hold(1)
	cancelled, expired, kept := r.send(2), r.sendFor(3, 4*time.Second), r.send(4)
	r.advance(5 * time.Second)
	release()
	g.Expect((<-running).Result).To(Equal(pb.Result_OK))
	stale := r.sendFor(5, 4*time.Second)
	g.Expect((<-stale).Detail).To(Equal(string(dispatch.Paused)))
	g.Expect(r.executor().queue.ServiceTime()).To(BeZero(), "the pause is no service time")
	r.tick()
	g.Expect(r.executor().queue.Len()).To(Equal(3), "nothing is dispatched yet")
	r.cancel(2)
	g.Expect((<-cancelled).Result).To(Equal(pb.Result_CANCELLED))
	r.advance(DefaultPauseOptions().Settle)
	r.tick()
	g.Expect((<-expired).Result).To(Equal(pb.Result_TOO_LATE))
	g.Expect((<-kept).Result).To(Equal(pb.Result_OK))
	g.Expect(r.runCount(2) + r.runCount(3) + r.runCount(5)).To(BeZero())
}

// Failure: a request that was sent after a pause is refused as too late, with all of its time
// left. The owner took it for one that had waited in the socket buffer for the whole pause, and
// its sender does not retry what is too late. The sender gets the time after which the owner
// trusts requests again.
func TestRequestSentAfterAPauseIsNotTooLate(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{slots: 1, connections: 40})
	r.tick()
	r.advance(3 * time.Second)
	early := <-r.sendFor(1, 2*time.Second)
	g.Expect(early.Result).To(Equal(pb.Result_SHED))
	g.Expect(early.Detail).To(Equal(string(dispatch.Paused)))
	wait := time.Duration(early.RetryAfterMs) * time.Millisecond
	g.Expect(wait).To(And(BeNumerically(">", 0), BeNumerically("<=", DefaultPauseOptions().Settle)))
	r.advance(wait)
	r.tick()
	g.Expect((<-r.sendFor(2, 2*time.Second)).Result).To(Equal(pb.Result_OK))
	g.Expect(r.runCount(1)).To(BeZero())
}

// Failure: a caller is answered that its request did not run only when a slow
// request ends. The only slot hangs while the deadline of a queued request passes.
// Deadlines were checked only when a slot became free.
func TestExpiredWhileTheSlotHangs(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{slots: 1, connections: 40})
	_, release := r.hold(1)
	waiting := r.sendFor(2, 500*time.Millisecond)
	r.advance(500 * time.Millisecond)
	r.tick()
	g.Expect(waiting).To(Receive(HaveField("Result", pb.Result_TOO_LATE)))
	release()
}

// Failure: every request to a dead upstream waits for its own connection attempt.
// Nothing listens at its address, and the earlier failure was not remembered.
func TestCircuit(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ln.Close()).To(Succeed())
	r := newRig(t, rigConfig{slots: 2, connections: 40, address: ln.Addr().String()})
	g.Expect((<-r.send(1)).Result).To(Equal(pb.Result_UNREACHABLE))
	rep := <-r.send(2)
	g.Expect(rep.Detail).To(Equal(string(dispatch.CircuitOpen)))
	g.Expect(rep.RetryAfterMs).To(BeNumerically(">", 0))
	r.advance(time.Second)
	rep = <-r.send(3)
	g.Expect(rep.Result).To(Equal(pb.Result_UNREACHABLE))
	g.Expect(rep.Detail).NotTo(Equal(string(dispatch.CircuitOpen)), "one trial after the backoff")
	g.Expect(r.reportedStates()).To(HaveExactElements("DOWN"))
}

func TestOnlyTheOwnerProbes(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{slots: 2, connections: 40})
	r.setRole(RoleStandby)
	g.Expect((<-r.send(1)).Result).To(Equal(pb.Result_OK), "a standby serves")
	g.Expect(r.tick()).To(BeZero())
	r.setRole(RoleOwner)
	g.Expect(r.tick()).To(Equal(1))
	g.Expect(r.server.Peak()).To(BeNumerically("<=", standbyConnections))
}

func TestRunProbesAndReports(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{realClock: true, slots: 2, connections: 40, behaviour: standin.Behaviour{Snapshots: []string{"1/1"}}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.owner.Run(ctx) }()
	g.Eventually(r.reportedStates, waitTimeout).Should(HaveExactElements("READY"))
	r.server.Change(func(b *standin.Behaviour) { b.Draining = true })
	g.Eventually(r.reportedStates, waitTimeout).Should(HaveExactElements("READY", "DRAINING"))
	cancel()
	g.Expect(<-done).To(Succeed())
}

// Failure: a planned stop interrupts requests. One runs and one is queued when the
// stop begins, and the stop did not wait for both.
func TestStop(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{slots: 1, connections: 40})
	running, release := r.hold(1)
	waiting := r.send(2)
	stopped := make(chan struct{})
	go func() {
		r.owner.Stop()
		close(stopped)
	}()
	g.Eventually(func() bool {
		e := r.executor()
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.stopping
	}, waitTimeout).Should(BeTrue())
	g.Expect((<-r.send(3)).Result).To(Equal(pb.Result_VM_STOPPING))
	g.Expect(stopped).NotTo(BeClosed())
	release()
	g.Expect((<-running).Result).To(Equal(pb.Result_OK))
	g.Expect((<-waiting).Result).To(Equal(pb.Result_OK))
	<-stopped
	g.Eventually(r.server.Open, waitTimeout).Should(BeZero())
}
