package config

import (
	"fmt"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// simFault is a failure that start injects and the returned function removes.
type simFault struct {
	name  string
	start func(s *sim) (heal func())
}

func restartWhere(s *sim, pick func(*simVM) bool) {
	for _, n := range s.vms {
		if n.up && pick(n) {
			n.stop()
			s.after(time.Duration(s.random.Int64N(int64(20*time.Second))), func() {
				n.start()
				s.updatePeers()
			})
		}
	}
}

var simFaults = []simFault{
	{"platform down", func(s *sim) func() {
		old := s.platform.fails
		s.platform.fails = func() FailureReason { return Unreachable }
		return func() { s.platform.fails = old }
	}},
	{"platform flapping", func(s *sim) func() {
		old := s.platform.fails
		s.platform.fails = func() FailureReason {
			return []FailureReason{"", Malformed, Refused}[s.random.IntN(3)]
		}
		return func() { s.platform.fails = old }
	}},
	{"platform stale", func(s *sim) func() {
		rev := s.platform.revision
		s.platform.served = func() uint64 { return rev }
		return func() { s.platform.served = nil }
	}},
	{"partial responses", func(s *sim) func() {
		s.platform.drop = func(n *simVM, d *pb.PublishedDocument) bool { return n.dc == "dc-0" && d.Name == "b" }
		return func() { s.platform.drop = nil }
	}},
	{"data centre without platform", func(s *sim) func() {
		s.platform.unreachableFrom["dc-1"] = true
		return func() { s.platform.unreachableFrom["dc-1"] = false }
	}},
	{"partition", func(s *sim) func() {
		s.cut = func(from, to string) bool { return (from == "dc-2") != (to == "dc-2") }
		return func() { s.cut = func(string, string) bool { return false } }
	}},
	{"readers replaced", func(s *sim) func() {
		restartWhere(s, func(n *simVM) bool { return n.syncer.Reader() })
		return func() {}
	}},
	{"a data centre replaced", func(s *sim) func() {
		restartWhere(s, func(n *simVM) bool { return n.dc == "dc-0" })
		return func() {}
	}},
	{"pushes lost", func(s *sim) func() {
		s.losePushes = true
		return func() { s.losePushes = false }
	}},
	{"rejected revisions", func(s *sim) func() {
		s.publish(bad, "a")
		return func() {}
	}},
}

// Guards against VMs that stay at a lower revision than others, or revert to an
// older one, after two simultaneous failures. Every pair of the failures above is
// active while changes are published; then both end. The fault arises if one
// propagation path works only while the others do.
func TestSimultaneousFaults(t *testing.T) {
	for i, first := range simFaults {
		for j, second := range simFaults[i+1:] {
			t.Run(first.name+" and "+second.name, func(t *testing.T) {
				s := newSim(12, 3, uint64(100*i+j))
				s.publish(good, "a")
				s.publish(good, "b")
				s.startAll()
				s.run(5 * time.Second)
				s.updatePeers()
				s.run(10 * time.Second)
				healFirst := first.start(s)
				s.run(time.Duration(s.random.Int64N(int64(5 * time.Second))))
				healSecond := second.start(s)
				for range 6 {
					s.publish(good, []string{"a", "b", "c"}[s.random.IntN(3)])
					s.run(5 * time.Second)
				}
				healFirst()
				healSecond()
				s.requireConverged(t)
				s.requireNoViolations(t)
			})
		}
	}
}

// requireConverged asserts that a final change is in force on every VM within
// changeDeadline, and that all VMs then hold the same versions, none of them above
// the last valid one.
func (s *sim) requireConverged(t *testing.T) {
	t.Helper()
	s.requireInForce(t, "c", s.publish(good, "c"), changeDeadline)
	s.run(3 * pollInterval)
	want := s.vms[0].syncer.State()
	for _, n := range s.vms {
		got := n.syncer.State()
		if !n.syncer.Started() || got.Digest() != want.Digest() || got.Revision() != want.Revision() {
			t.Errorf("%s (started %v) holds revision %d, others %d; digests equal: %v",
				n.peer().VM, n.syncer.Started(), got.Revision(), want.Revision(), got.Digest() == want.Digest())
		}
		for _, name := range []string{"a", "b", "c"} {
			if last := s.platform.history.lastGood(name); got.InForce(name) > last {
				t.Errorf("%s has %s at %d, above the last valid revision", n.peer().VM, name, got.InForce(name))
			}
		}
	}
}

func (h history) lastGood(name string) uint64 {
	last := uint64(0)
	for _, d := range h {
		if d.Name == name && string(d.Body) == string(goodBody(d.Revision)) {
			last = d.Revision
		}
	}
	return last
}

// Guards against a VM that serves with an old configuration for seconds after a
// pause of its process, during which it missed changes, because it waits for the
// next heartbeat or poll.
func TestPollImmediatelyAfterPause(t *testing.T) {
	s := newStartedSim(t, 6, 1)
	n := s.vms[2]
	wake := s.now.Add(3 * time.Second)
	for _, a := range n.syncer.Step(wake, Tick{}) {
		if _, ok := a.(Pull); ok {
			return
		}
	}
	t.Error(fmt.Sprint("no peer was queried at the first tick after ", 3*time.Second))
}
