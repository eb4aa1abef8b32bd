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
			main, standby := GrantFor(Main, u), GrantFor(Standby, u)
			g.Expect(main.Connections+standby.Connections).To(BeNumerically("<=", conns), "%d slots, %d connections", slots, conns)
			g.Expect(main.Slots).To(BeNumerically("<=", max(1, main.Connections-1)))
			g.Expect(main.Slots).To(BeNumerically(">=", 1))
			if conns >= 2*(slots+ownerSpare)+standbyConnections {
				g.Expect(2*main.Connections+standby.Connections).To(BeNumerically("<=", conns), "two owners at once")
			}
		}
	}
}

// Symptom: a royalty payment is triggered twice.
// Sequence: the frame of one sub-request comes three times: twice while the
// first waits or runs, once after its answer.
// Cause: the owner dispatched whatever came.
func TestDuplicateFrame(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{slots: 3, connections: 40})
	first, let := r.hold(1)
	second := r.send(1)
	let()
	g.Expect((<-first).Result).To(Equal(pb.Result_OK))
	third := r.send(1)
	g.Expect((<-third).Result).To(Equal(pb.Result_UNKNOWN))
	g.Expect(second).To(BeEmpty(), "the first call answers")
	g.Expect(first).To(BeEmpty())
	g.Expect(r.runs(1)).To(Equal(1))
}

// Symptom: a withdrawn request runs after its caller was told that it did not.
// Sequence: the cancellation comes before its request.
// Cause: a cancellation of an unknown id was dropped.
func TestCancelBeforeRequest(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{slots: 3, connections: 40})
	r.cancel(1)
	g.Expect((<-r.send(1)).Result).To(Equal(pb.Result_CANCELLED))
	g.Expect(r.runs(1)).To(BeZero())
	g.Expect((<-r.send(2)).Result).To(Equal(pb.Result_OK), "others are not touched")
}

// Symptom: a slot stays taken by a request that nobody waits for.
// Sequence: the only slot runs a straggler; it is withdrawn; another waits.
// Cause: the cancellation went no further than the queue.
func TestCancelFreesTheSlot(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{slots: 1, connections: 40})
	first, _ := r.hold(1)
	waiting, withdrawn := r.send(2), r.send(3)
	r.cancel(3)
	g.Expect((<-withdrawn).Result).To(Equal(pb.Result_CANCELLED))
	r.cancel(1)
	g.Expect((<-first).Result).To(Equal(pb.Result_UPSTREAM_ERROR))
	g.Expect((<-waiting).Result).To(Equal(pb.Result_OK))
	g.Expect(r.server.Cancelled()).To(Equal(int64(1)))
	g.Expect(r.runs(3)).To(BeZero())
	g.Expect(r.server.Peak()).To(BeNumerically("<=", 2), "the cancellation went over the control connection")
}

// Symptom: an upstream that drains is still given work.
// Sequence: it announces draining while one request runs and two wait.
// Cause: what waited was sent, or the announcement was left to the next probe.
func TestUpstreamLeaving(t *testing.T) {
	for name, c := range map[string]struct {
		behaviour standin.Behaviour
		announce  func(r *rig)
	}{
		"in the header of a reply": {standin.Behaviour{AnnounceDrain: true}, func(*rig) {}},
		"by the operators":         {standin.Behaviour{}, func(r *rig) { r.apply(true) }},
		"in its health": {standin.Behaviour{}, func(r *rig) {
			r.server.Change(func(b *standin.Behaviour) { b.Draining = true })
			r.station().probe()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRig(t, rigConfig{slots: 1, connections: 40, behaviour: c.behaviour})
			running, let := r.hold(1)
			waiting := []<-chan *pb.SubReply{r.send(2), r.send(3)}
			c.announce(r)
			let()
			g.Expect((<-running).Result).To(Equal(pb.Result_OK), "what runs is not cut off")
			for _, w := range waiting {
				g.Expect((<-w).Result).To(Equal(pb.Result_UPSTREAM_LEAVING))
			}
			g.Expect((<-r.send(4)).Result).To(Equal(pb.Result_UPSTREAM_LEAVING))
			g.Expect(r.runs(2) + r.runs(3) + r.runs(4)).To(BeZero())
			g.Expect(r.seen()).To(HaveExactElements("DRAINING"))
		})
	}
}

// Symptom: a VM that lost an upstream keeps sending to it and keeps its
// connections, beside the new owner's.
// Sequence: ownership moves while one request runs and one waits.
// Cause: stations outlived their ownership.
func TestLostOwnership(t *testing.T) {
	for name, role := range map[string]Role{"to none": None, "to standby": Standby} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRig(t, rigConfig{slots: 2, connections: 40})
			r.ramp()
			running, let := r.hold(1)
			_, let2 := r.hold(2)
			waiting := r.send(3)
			r.become(role)
			g.Expect((<-waiting).Result).To(Equal(pb.Result_NOT_OWNER))
			if role == None {
				g.Expect((<-r.send(4)).Result).To(Equal(pb.Result_NOT_OWNER))
			}
			let()
			let2()
			g.Expect((<-running).Result).To(Equal(pb.Result_OK))
			g.Expect(r.runs(3)).To(BeZero())
			g.Eventually(func() int64 { r.tick(); return r.server.Open() }, patience).Should(BeZero())
			g.Expect(r.seen()).To(HaveExactElements("READY", "lost"))
		})
	}
}

// Symptom: an upstream's connections exceed what is published after a change.
// Sequence: five connections are open, one of them in use, when four are
// published in place of forty, which leaves the owner two, one of them a slot.
// Cause: the changed upstream was taken for another one, with connections of its
// own.
func TestFewerConnectionsPublished(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{slots: 5, connections: 40})
	r.ramp()
	held, let := r.hold(1)
	r.config.connections = 4
	r.apply(false)
	g.Eventually(r.server.Open, patience).Should(Equal(int64(1)))
	waiting := r.send(2)
	g.Expect(r.runs(2)).To(BeZero())
	g.Expect(r.station().queue.Len()).To(Equal(1))
	let()
	g.Expect((<-held).Result).To(Equal(pb.Result_OK))
	g.Expect((<-waiting).Result).To(Equal(pb.Result_OK))
	r.burst()
	g.Expect(r.server.Open()).To(BeNumerically("<=", 2))
}

// Symptom: an upstream is flooded when it changes hands.
// Sequence: a standby takes over.
// Cause: the new owner used every published slot at once.
func TestTakeOverRamps(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{slots: 3, connections: 40})
	r.become(None)
	r.tick()
	r.become(Main)
	held, let := r.hold(1)
	waiting := r.send(2)
	g.Expect(r.station().queue.Len()).To(Equal(1), "one slot at first")
	let()
	<-held
	<-waiting
	r.ramp()
}

// Symptom: an upstream's published connections or slots are exceeded, or work is
// reported as not run that ran.
// Sequence: two VMs both believe that they own it, and both are busy.
// Cause: limits that rest on there being one owner.
func TestTwoOwners(t *testing.T) {
	g := NewWithT(t)
	const slots, connections, each = 5, 40, 200
	a := newRig(t, rigConfig{vm: "a", moving: true, slots: slots, connections: connections,
		behaviour: standin.Behaviour{Slots: slots, Median: time.Millisecond}})
	b := newRig(t, rigConfig{vm: "b", moving: true, slots: slots, connections: connections, server: a.server})
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
					if rep.Result == pb.Result_SHED && r.runs(id) > 0 {
						t.Errorf("sub-request %d was said not to run and ran", id)
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

// Symptom: an upstream that sheds is sent as much as before, or is sent nothing
// for good.
// Sequence: it sheds all for a while, then nothing.
// Cause: a fixed limit; or one that does not recover.
func TestShedStorm(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{slots: 5, connections: 40})
	r.ramp()
	r.server.Change(func(b *standin.Behaviour) { b.ShedAll = true })
	for id := uint64(10); id < 30; id++ {
		g.Expect((<-r.send(id)).Result).To(Equal(pb.Result_SHED))
		g.Expect(r.runs(id)).To(BeZero())
		r.jump(30 * time.Millisecond)
	}
	g.Expect(r.station().limiter.Limit()).To(Equal(1))
	r.server.Change(func(b *standin.Behaviour) { b.ShedAll = false })
	r.ramp()
}

// Symptom: an owner that was paused runs work that was cancelled meanwhile.
// Sequence: one runs, three wait; the process stops for five seconds; on waking
// the running one ends before the cancellation is read. A request that waited in
// the socket comes too, with its remaining time as it was when sent.
// Cause: what was queued was dispatched first.
func TestPauseOfTheProcess(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{slots: 1, connections: 40})
	r.tick()
	running, let := r.hold(1)
	cancelled, expired, kept := r.send(2), r.sendFor(3, 4*time.Second), r.send(4)
	r.jump(5 * time.Second)
	let()
	g.Expect((<-running).Result).To(Equal(pb.Result_OK))
	stale := r.sendFor(5, 4*time.Second)
	g.Expect((<-stale).Detail).To(Equal(string(dispatch.Paused)))
	g.Expect(r.station().queue.ServiceTime()).To(BeZero(), "the pause is no service time")
	r.tick()
	g.Expect(r.station().queue.Len()).To(Equal(3), "nothing is dispatched yet")
	r.cancel(2)
	g.Expect((<-cancelled).Result).To(Equal(pb.Result_CANCELLED))
	r.jump(DefaultPause().Settle)
	r.tick()
	g.Expect((<-expired).Result).To(Equal(pb.Result_TOO_LATE))
	g.Expect((<-kept).Result).To(Equal(pb.Result_OK))
	g.Expect(r.runs(2) + r.runs(3) + r.runs(5)).To(BeZero())
}

// Symptom: a caller learns that its request did not run only when a straggler
// ends.
// Sequence: the only slot hangs; the deadline of one that waits passes.
// Cause: deadlines were looked at only when a slot became free.
func TestExpiredWhileTheSlotHangs(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{slots: 1, connections: 40})
	_, let := r.hold(1)
	waiting := r.sendFor(2, 500*time.Millisecond)
	r.jump(500 * time.Millisecond)
	r.tick()
	g.Expect(waiting).To(Receive(HaveField("Result", pb.Result_TOO_LATE)))
	let()
}

// Symptom: every request to a dead upstream waits for its own connect.
// Sequence: nothing listens at its address; later it does.
// Cause: no memory of the failure.
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
	r.jump(time.Second)
	rep = <-r.send(3)
	g.Expect(rep.Result).To(Equal(pb.Result_UNREACHABLE))
	g.Expect(rep.Detail).NotTo(Equal(string(dispatch.CircuitOpen)), "one trial after the backoff")
	g.Expect(r.seen()).To(HaveExactElements("DOWN"))
}

func TestOnlyTheOwnerProbes(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{slots: 2, connections: 40})
	r.become(Standby)
	g.Expect((<-r.send(1)).Result).To(Equal(pb.Result_OK), "a standby serves")
	g.Expect(r.tick()).To(BeZero())
	r.become(Main)
	g.Expect(r.tick()).To(Equal(1))
	g.Expect(r.server.Peak()).To(BeNumerically("<=", standbyConnections))
}

func TestRunProbesAndTells(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{moving: true, slots: 2, connections: 40, behaviour: standin.Behaviour{Snapshots: []string{"1/1"}}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.owner.Run(ctx) }()
	g.Eventually(r.seen, patience).Should(HaveExactElements("READY"))
	r.server.Change(func(b *standin.Behaviour) { b.Draining = true })
	g.Eventually(r.seen, patience).Should(HaveExactElements("READY", "DRAINING"))
	cancel()
	g.Expect(<-done).To(Succeed())
}

// Symptom: a planned stop cuts requests off.
// Sequence: one runs and one waits when the stop comes.
// Cause: the stop did not wait for both.
func TestStop(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, rigConfig{slots: 1, connections: 40})
	running, let := r.hold(1)
	waiting := r.send(2)
	stopped := make(chan struct{})
	go func() {
		r.owner.Stop()
		close(stopped)
	}()
	g.Eventually(func() bool {
		st := r.station()
		st.mu.Lock()
		defer st.mu.Unlock()
		return st.stopping
	}, patience).Should(BeTrue())
	g.Expect((<-r.send(3)).Result).To(Equal(pb.Result_VM_STOPPING))
	g.Expect(stopped).NotTo(BeClosed())
	let()
	g.Expect((<-running).Result).To(Equal(pb.Result_OK))
	g.Expect((<-waiting).Result).To(Equal(pb.Result_OK))
	<-stopped
	g.Eventually(r.server.Open, patience).Should(BeZero())
}
