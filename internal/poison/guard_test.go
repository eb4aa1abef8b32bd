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

// testTimeout bounds what a test waits for; no test passes by it running out.
const testTimeout = 10 * time.Second

var subject = Subject{Content: fingerprint.Of("GET", "h", "/", nil)}

func newGuard() *Guard { return New(logring.Nop(), NewMetrics(prometheus.NewRegistry())) }

// crash ends so many upstreams under the subject, all in one moment.
func (g *Guard) crash(now time.Time, upstreams uint32) {
	for u := range upstreams {
		g.Crashed(now, subject, quarantine.Crash{Start: u, SentAt: now.Add(-time.Second), EndedAt: now})
	}
}

// broadcast is what a guard tells, and to how many.
type broadcast struct {
	entries []*pb.QuarantineEntry
	maxPeers    int
}

type recordingBroadcaster chan broadcast

func (t recordingBroadcaster) Broadcast(entries []*pb.QuarantineEntry, most int) { t <- broadcast{entries, most} }

func (t recordingBroadcaster) next(test *testing.T) broadcast {
	test.Helper()
	select {
	case w := <-t:
		return w
	case <-time.After(testTimeout):
		test.Fatal("nothing is told")
		return broadcast{}
	}
}

// What is new goes to all peers at once, and to some again; a peer that hears it treats the
// request alike.
func TestPeersAreTold(t *testing.T) {
	a, b := newGuard(), newGuard()
	ctx, cancel := context.WithCancel(context.Background())
	words := make(recordingBroadcaster, 16)
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx, words) }()
	a.crash(time.Now(), 3)
	first := words.next(t)
	if first.maxPeers != membership.All || len(first.entries) != 1 {
		t.Errorf("told first: %+v", first)
	}
	b.Heard("a", first.entries)
	if got := b.Step(time.Now(), subject.Content, &quarantine.Waiting{}); got.Standing != quarantine.Suspect {
		t.Errorf("a peer that heard holds it for %s", got.Standing)
	}
	if again := words.next(t); again.maxPeers != repeatFanout {
		t.Errorf("told again: %+v", again)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	b.Heard("a", []*pb.QuarantineEntry{{}})
	if n := testutil.ToFloat64(b.metrics.droppedEntries); n != 1 {
		t.Errorf("%v entries dropped", n)
	}
}

// Symptom: a suspect that nobody tries waits for more than a second, and peers hear of a trial
// that is not under way.
// Sequence: its only attempt looks how the request stands, and then waits for its turn.
// Cause: the first look began a trial, which the attempt then waited for. Here no time passes:
// an attempt whose turn is now must not wait for anything.
func TestALoneSuspectIsTriedInItsTurn(t *testing.T) {
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
		t.Error("it waits for itself")
	}
}

// Symptom: requests that many callers ask wait for up to two seconds, while upstreams end under
// another one; a caller that leaves meanwhile leaves work behind.
// Sequence: a request is answered again and again; upstreams end that have one of its
// attempts each, and these have no answer. The next attempts wait for their turn to be tried.
// Cause: what had just been answered became a suspect all the same.
func TestWhatIsAnsweredAllTheTimeIsNotHeldUp(t *testing.T) {
	g := newGuard()
	now := time.Now()
	g.Survived(now, subject)
	g.crash(now.Add(time.Second), 3)
	later := now.Add(2 * time.Second)
	drawn := false
	a := g.Admit(func() time.Time { return later }, func() float64 { drawn = true; return 0 }, subject)
	if a.Standing != quarantine.Free || drawn {
		t.Errorf("%+v, turn drawn %v", a, drawn)
	}
}

// An attempt of a suspect waits while another one tries it, and goes on as any other once
// that was answered.
func TestSuspectsWaitForATrial(t *testing.T) {
	g := newGuard()
	now := time.Now()
	g.crash(now, 3)
	first := func() float64 { return 0 }
	if a := g.Admit(time.Now, first, subject); a.Standing != quarantine.Suspect || a.Held {
		t.Fatalf("the trial: %+v", a)
	}
	waiting := make(chan quarantine.Admission, 1)
	go func() { waiting <- g.Admit(time.Now, first, subject) }()
	g.Survived(time.Now(), subject)
	select {
	case a := <-waiting:
		if a.Standing != quarantine.Free {
			t.Errorf("after an answer: %+v", a)
		}
	case <-time.After(testTimeout):
		t.Error("it waits on")
	}
}
