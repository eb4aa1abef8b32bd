package health

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

var epoch = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func monitor() *Monitor {
	return New(Options{
		Interval:      time.Second,
		Lag:           3 * time.Second,
		BackoffMin:    100 * time.Millisecond,
		BackoffMax:    time.Second,
		ProbeFailures: 2,
	}, 1)
}

// event is an input to a monitor.
type event func(m *Monitor)

func reply(ms int, r pb.Result) event {
	return func(m *Monitor) { m.Observe(at(ms), Reply{Result: r}) }
}

func drainHeader(ms int) event {
	return func(m *Monitor) { m.Observe(at(ms), Reply{Result: pb.Result_OK, Draining: true}) }
}

func probe(ms int, s pb.UpstreamState) event {
	return func(m *Monitor) { m.ProbeFinished(at(ms), at(ms), &Report{State: s}) }
}

func noAnswer(ms int) event {
	return func(m *Monitor) { m.ProbeFinished(at(ms), at(ms), nil) }
}

func started(m *Monitor) { m.RequestStarted() }

func TestStateAndGate(t *testing.T) {
	const (
		ready    = pb.UpstreamState_READY
		cold     = pb.UpstreamState_COLD
		draining = pb.UpstreamState_DRAINING
		down     = pb.UpstreamState_DOWN
	)
	for name, c := range map[string]struct {
		events []event
		at     int
		state  pb.UpstreamState
		gate   Gate
	}{
		"no information":                           {nil, 0, pb.UpstreamState_UPSTREAM_STATE_UNSPECIFIED, Open},
		"health says ready":                        {[]event{probe(0, ready)}, 0, ready, Open},
		"a successful answer alone makes it ready": {[]event{reply(0, pb.Result_OK)}, 0, ready, Open},
		"health says cold":                         {[]event{probe(0, cold)}, 0, cold, Open},
		"health says draining":                     {[]event{probe(0, draining)}, 0, draining, Leaving},
		"a reply says draining":                    {[]event{probe(0, ready), drainHeader(1)}, 1, draining, Leaving},
		"a refusal says draining":                  {[]event{reply(0, pb.Result_UPSTREAM_LEAVING)}, 0, draining, Leaving},
		"lagging health does not override the reply": {
			[]event{drainHeader(0), probe(2999, ready)}, 2999, draining, Leaving},
		"health newer than the lag overrides the reply": {
			[]event{drainHeader(0), probe(3000, ready)}, 3000, ready, Open},
		"a later successful answer does not end draining": {
			[]event{drainHeader(0), reply(10, pb.Result_OK)}, 10, draining, Leaving},
		"the operators remove it": {
			[]event{probe(0, ready), func(m *Monitor) { m.SetLeaving(true) }}, 0, draining, Leaving},
		"one probe without answer": {[]event{probe(0, ready), noAnswer(1000)}, 1000, ready, Open},
		"two probes without answer": {
			[]event{probe(0, ready), noAnswer(1000), noAnswer(2000)}, 2000, down, Unreachable},
		"health hangs while requests are answered": {
			[]event{probe(0, ready), noAnswer(1000), reply(2500, pb.Result_OK), noAnswer(2000), noAnswer(3000)}, 3000, ready, Open},
		"no connection":             {[]event{probe(0, ready), reply(0, pb.Result_UNREACHABLE)}, 0, down, Unreachable},
		"a trial after the backoff": {[]event{reply(0, pb.Result_UNREACHABLE)}, 126, down, Trial},
		"one trial at a time":       {[]event{reply(0, pb.Result_UNREACHABLE), started}, 126, down, Unreachable},
		"the trial fails":           {[]event{reply(0, pb.Result_UNREACHABLE), started, reply(126, pb.Result_UNREACHABLE)}, 275, down, Unreachable},
		"the trial succeeds":        {[]event{reply(0, pb.Result_UNREACHABLE), started, reply(126, pb.Result_OK)}, 126, ready, Open},
		"a probe allows a trial":    {[]event{reply(0, pb.Result_UNREACHABLE), probe(10, ready)}, 10, down, Trial},
		"concurrent failures count once": {
			[]event{reply(0, pb.Result_UNREACHABLE), reply(1, pb.Result_UNREACHABLE), reply(2, pb.Result_UNREACHABLE)}, 127, down, Trial},
		"an unknown outcome changes nothing": {[]event{probe(0, ready), reply(0, pb.Result_UNKNOWN)}, 0, ready, Open},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := monitor()
			for _, e := range c.events {
				e(m)
			}
			g.Expect(m.State()).To(Equal(c.state))
			g.Expect(m.Gate(at(c.at))).To(Equal(c.gate))
		})
	}
}

// Replies update the snapshots although the health endpoint lags. Otherwise
// queries pin a version that the upstream has dropped, or wait for one that it
// has loaded.
func TestSnapshotsFromReplies(t *testing.T) {
	g := NewWithT(t)
	v := func(n uint64) *pb.Snapshot { return &pb.Snapshot{Generation: 1, Version: n} }
	m := monitor()
	m.ProbeFinished(at(0), at(0), &Report{State: pb.UpstreamState_READY, Snapshots: []*pb.Snapshot{v(1)}})
	m.Observe(at(1), Reply{Result: pb.Result_OK, Snapshot: v(2)})
	m.Observe(at(2), Reply{Result: pb.Result_NO_SNAPSHOT, Snapshot: v(1)})
	g.Expect(m.Snapshots()).To(HaveLen(1))
	g.Expect(m.Snapshots()[0].Version).To(Equal(uint64(2)))
}

func TestProbeJitter(t *testing.T) {
	g := NewWithT(t)
	m := monitor()
	g.Expect(m.ProbeDue(at(0))).To(BeTrue())
	g.Expect(m.ProbeDue(at(1))).To(BeFalse(), "one probe at a time")
	m.ProbeFinished(at(2), at(0), nil)
	g.Expect(m.ProbeDue(at(2 + 749))).To(BeFalse())
	g.Expect(m.ProbeDue(at(2 + 1251))).To(BeTrue())
}
