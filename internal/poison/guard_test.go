package poison

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"sycamorekeel.example/sycamorekeel/internal/fingerprint"
	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/quarantine"
)

// testTimeout limits the waits of a test. A test that reaches it fails.
const testTimeout = 10 * time.Second

var subject = Request{Content: fingerprint.Of("GET", "h", "/", nil)}

func newGuard() *Guard { return New(logring.Nop(), NewMetrics(prometheus.NewRegistry())) }

// crash records simultaneous crashes of several upstreams under subject.
func (g *Guard) crash(now time.Time, upstreams uint32) {
	for u := range upstreams {
		g.Crashed(now, subject, quarantine.Crash{Instance: u, SentAt: now.Add(-time.Second), EndedAt: now})
	}
}

// broadcast holds the arguments of one call of Broadcast.
type broadcast struct {
	entries  []*pb.QuarantineEntry
	maxPeers int
}

type recordingBroadcaster chan broadcast

func (r recordingBroadcaster) Broadcast(entries []*pb.QuarantineEntry, maxPeers int) {
	r <- broadcast{entries, maxPeers}
}

func (r recordingBroadcaster) next(t *testing.T) broadcast {
	t.Helper()
	select {
	case b := <-r:
		return b
	case <-time.After(testTimeout):
		t.Fatal("no broadcast")
		return broadcast{}
	}
}

// New entries are sent to all peers at once, then re-sent to some. A peer that receives them
// gives the request the same standing.
func TestEntriesReachPeers(t *testing.T) {
	a, b := newGuard(), newGuard()
	ctx, cancel := context.WithCancel(context.Background())
	broadcasts := make(recordingBroadcaster, 16)
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx, broadcasts) }()
	a.crash(time.Now(), 3)
	first := broadcasts.next(t)
	if first.maxPeers != membership.AllMembers || len(first.entries) != 1 {
		t.Errorf("first broadcast: %+v", first)
	}
	b.HandleEntries("a", first.entries)
	if got := b.TryAdmit(time.Now(), subject.Content, &quarantine.TrialWait{}); got.Standing != quarantine.Suspect {
		t.Errorf("the peer has standing %s", got.Standing)
	}
	if again := broadcasts.next(t); again.maxPeers != repeatFanout {
		t.Errorf("second broadcast: %+v", again)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	b.HandleEntries("a", []*pb.QuarantineEntry{{}})
	if n := testutil.ToFloat64(b.metrics.droppedEntries); n != 1 {
		t.Errorf("%v entries dropped", n)
	}
}

// Guards against an attempt that waits for its own trial: its first check starts a trial, which
// is announced to peers, and the attempt then waits for over a second for the trial to end. The
// clock stands still here, so an attempt with a delay of 0 must not wait.
func TestOnlyAttemptOfSuspectIsTriedWithoutWait(t *testing.T) {
	g := newGuard()
	now := time.Now()
	g.crash(now, 3)
	admitted := make(chan quarantine.Admission, 1)
	go func() {
		admitted <- g.Admit(func() time.Time { return now }, func() float64 { return 0 }, subject)
	}()
	select {
	case a := <-admitted:
		if a.Standing != quarantine.Suspect || a.Held {
			t.Errorf("%+v", a)
		}
	case <-time.After(testTimeout):
		t.Error("the attempt waits for its own trial")
	}
}

// Guards against delaying a request of many callers by up to two seconds when upstreams end
// under another request: each of these upstreams also ran one attempt of the common request,
// which became a suspect although it had just been answered. A caller that gave up during the
// delay left work behind.
func TestRecentlyAnsweredRequestDoesNotWait(t *testing.T) {
	g := newGuard()
	now := time.Now()
	g.Survived(now, subject)
	g.crash(now.Add(time.Second), 3)
	later := now.Add(2 * time.Second)
	drawn := false
	a := g.Admit(func() time.Time { return later }, func() float64 { drawn = true; return 0 }, subject)
	if a.Standing != quarantine.Free || drawn {
		t.Errorf("%+v, delay drawn: %v", a, drawn)
	}
}

// An attempt of a suspect waits during another attempt's trial and runs without restriction
// once the trial is answered.
func TestSuspectWaitsForTrial(t *testing.T) {
	g := newGuard()
	now := time.Now()
	g.crash(now, 3)
	noDelay := func() float64 { return 0 }
	if a := g.Admit(time.Now, noDelay, subject); a.Standing != quarantine.Suspect || a.Held {
		t.Fatalf("first attempt: %+v", a)
	}
	waiting := make(chan quarantine.Admission, 1)
	go func() { waiting <- g.Admit(time.Now, noDelay, subject) }()
	g.Survived(time.Now(), subject)
	select {
	case a := <-waiting:
		if a.Standing != quarantine.Free {
			t.Errorf("after an answer: %+v", a)
		}
	case <-time.After(testTimeout):
		t.Error("the attempt still waits after the answer")
	}
}
