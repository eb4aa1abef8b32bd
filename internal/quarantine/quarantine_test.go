package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamorekeel.example/sycamorekeel/internal/fingerprint"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func content(n int) fingerprint.Fingerprint {
	return fingerprint.Of("GET", "h", fmt.Sprint(n), nil)
}

// crash is an upstream that ended so long after the start under a request sent 30 ms before.
func crash(upstream uint32, ended time.Duration) Crash {
	return Crash{Start: upstream, SentAt: at(ended - 30*ms), EndedAt: at(ended)}
}

// vm is a table and the steps that a test takes with it.
type vm struct {
	*Table
	t *testing.T
}

func newVM(t *testing.T) vm { return vm{New(), t} }

func (v vm) crashed(upstream uint32, ended time.Duration) {
	v.Crashed(at(ended), content(1), crash(upstream, ended))
}

func (v vm) is(now time.Duration, want Standing) {
	v.t.Helper()
	if got, _ := v.Standing(at(now), content(1)); got != want {
		v.t.Errorf("%s after %v, want %s", got, now, want)
	}
}

// tell gives what one VM has for all peers, once its attempt has ended, to another one.
func (v vm) tell(now time.Duration, to vm) {
	v.Unanswered(content(1))
	for _, e := range v.News(at(now), 16) {
		to.Merge(at(now), e)
	}
}

// A request that one upstream after the other ends under is blocked: at once when trials
// that come later end theirs too, else by the length of the chain.
func TestChainsOfCrashesBlock(t *testing.T) {
	v := newVM(t)
	v.crashed(1, 0)
	v.is(0, Free)
	v.crashed(2, 50*ms)
	v.is(50*ms, Suspect)
	v.crashed(3, 100*ms)
	v.is(100*ms, Suspect)
	v.crashed(4, 150*ms)
	v.is(150*ms, Blocked)

	v = newVM(t)
	v.crashed(1, 0)
	v.crashed(2, 50*ms)
	v.is(5*time.Second, Suspect)
	v.crashed(3, 5*time.Second)
	v.is(5*time.Second, Blocked)
}

// Symptom: requests at no fault are refused after many upstreams have ended at once.
// Sequence: all copies of all shards end in the same moment, for a reason of their own; a
// query had a part at ten of them.
// Cause: ten crashes were counted where there was one event. Sends of the same moment show
// one round of a chain, however many they are.
func TestCrashesOfOneMomentBlockNothing(t *testing.T) {
	v := newVM(t)
	for u := range uint32(10) {
		v.crashed(u, time.Duration(u)*ms)
	}
	v.is(20*ms, Suspect)
	if turn := v.Survived(at(5*time.Second), content(1)); turn.Was != Suspect || turn.Is != Free {
		t.Errorf("%+v", turn)
	}
	v.is(5*time.Second, Free)
}

// Symptom: a request at no fault is blocked by the loss of many upstreams in one moment.
// Sequence: its sends begin in the very moment in which the upstreams end.
// Cause: a send of that moment was taken for one made after the crash was seen.
func TestSendsOfTheMomentOfACrashAreOfTheSameRound(t *testing.T) {
	v := newVM(t)
	for u := range uint32(6) {
		v.Crashed(start, content(1), Crash{Start: u, SentAt: start, EndedAt: start})
	}
	v.is(0, Suspect)
}

// The same start of an upstream counts once, however many connections to it end; under the
// name of one that ended long ago there is another process.
func TestAnUpstreamCountsOnce(t *testing.T) {
	v := newVM(t)
	for i := range 20 {
		v.crashed(1, time.Duration(i)*40*ms)
	}
	v.is(time.Second, Free)
	v.crashed(1, 5*time.Second)
	v.is(5*time.Second, Suspect)
	v.crashed(1, 10*time.Second)
	v.is(10*time.Second, Blocked)
}

// A block ends, and one trial that ends its upstream renews it for longer.
func TestABlockIsTriedAgain(t *testing.T) {
	v := newVM(t)
	for u := range uint32(4) {
		v.crashed(u, time.Duration(u)*2*time.Second)
	}
	last := 4 * time.Second
	v.is(last+blockFirst-time.Second, Blocked)
	again := last + blockFirst + time.Minute
	v.is(again, Suspect)
	v.crashed(9, again)
	v.is(again+2*blockFirst, Blocked)
	v.Survived(at(again+blockFirst*blockGrowth+time.Minute), content(1))
	v.is(again+blockFirst*blockGrowth+time.Minute, Free)
}

// Symptom: each VM lets the request through once more.
// Sequence: attempts come to another VM each time; every one ends one upstream.
// Cause: no VM had seen more than one crash. What peers tell counts as one's own.
func TestCrashesAtSeveralVMsMakeOneChain(t *testing.T) {
	vms := []vm{newVM(t), newVM(t), newVM(t), newVM(t)}
	for i := range 3 {
		now := time.Duration(i) * 10 * time.Second
		vms[i].crashed(uint32(i), now)
		vms[i].Unanswered(content(1))
		for j := range vms {
			if j != i {
				for _, e := range vms[i].All(at(now), 16) {
					vms[j].Merge(at(now+20*ms), e)
				}
			}
		}
		for _, e := range vms[i].News(at(now), 16) {
			for j := range vms {
				if j != i {
					vms[j].Merge(at(now+20*ms), e)
				}
			}
		}
	}
	for i, v := range vms {
		if got, _ := v.Standing(at(21*time.Second), content(1)); got != Blocked {
			t.Errorf("VM %d: %s", i, got)
		}
	}
}

// Crashes of one moment at several VMs are one round of the chain.
func TestRoundsAtSeveralVMsAreNotAddedUp(t *testing.T) {
	a, b := newVM(t), newVM(t)
	a.crashed(1, 0)
	a.crashed(2, 40*ms)
	b.crashed(3, 5*ms)
	b.crashed(4, 45*ms)
	a.tell(60*ms, b)
	b.tell(60*ms, a)
	for _, v := range []vm{a, b} {
		if turn := v.Survived(at(time.Second), content(1)); turn.Was != Suspect {
			t.Errorf("%+v", turn)
		}
	}
}

// An answer anywhere clears the request everywhere, and older words of crashes that come
// later do not bring the suspicion back.
func TestAnAnswerClearsAtAllVMs(t *testing.T) {
	a, b := newVM(t), newVM(t)
	for u := range uint32(4) {
		a.crashed(u, time.Duration(u)*2*time.Second)
	}
	late := a.All(at(7*time.Second), 16)
	a.tell(7*time.Second, b)
	late = append(late, a.All(at(7*time.Second), 16)...)
	b.is(8*time.Second, Blocked)
	b.Survived(at(9*time.Second), content(1))
	b.tell(9*time.Second, a)
	for _, e := range late {
		a.Merge(at(9500*ms), e)
	}
	a.is(10*time.Second, Free)
	a.crashed(7, 11*time.Second)
	a.is(11*time.Second, Free)
}

// While one VM tries a suspect the others wait for what comes of it: until it is cleared or
// blocked, or for as long as a caller may be kept.
func TestOneTrialAtATime(t *testing.T) {
	a, b := newVM(t), newVM(t)
	a.crashed(1, 0)
	a.crashed(2, 50*ms)
	a.tell(60*ms, b)
	admit := func(v vm, now time.Duration, w Waiting) Admission { return v.Admit(at(now), content(1), &w) }
	first := admit(a, time.Second, Wait(at(time.Second), 0))
	if first.Standing != Suspect || first.Held || !first.Again.IsZero() {
		t.Errorf("a: %+v", first)
	}
	a.tell(time.Second, b)
	w := Wait(at(time.Second+10*ms), 0.5)
	if got := b.Admit(at(time.Second+10*ms), content(1), &w); got.Again.IsZero() {
		t.Errorf("b tries as well: %+v", got)
	}
	end := time.Second + trialFor
	if got := admit(b, end+turnWithin/2-ms, w); got.Again.IsZero() {
		t.Errorf("tried as soon as the trial may be over, with all others: %+v", got)
	}
	if got := admit(b, end+turnWithin/2, w); !got.Again.IsZero() || got.Held {
		t.Errorf("a trial of which nothing is heard holds the others up: %+v", got)
	}
	if got := admit(b, end+turnWithin/2+ms, Waiting{}); !got.Held {
		t.Errorf("one that waits for long is not told: %+v", got)
	}
	a.Survived(at(2*time.Second), content(1))
	if got := admit(a, 2*time.Second, w); got.Standing != Free {
		t.Errorf("cleared: %+v", got)
	}
}

// VMs to which a suspect comes at the same moment take turns.
func TestTurnsAreSpread(t *testing.T) {
	a := newVM(t)
	a.crashed(1, 0)
	a.crashed(2, 50*ms)
	w := Wait(at(time.Second), 0.5)
	if got := a.Admit(at(time.Second+turnWithin/2-ms), content(1), &w); got.Again.IsZero() {
		t.Errorf("tried before its turn: %+v", got)
	}
	if got := a.Admit(at(time.Second+turnWithin/2), content(1), &w); !got.Again.IsZero() {
		t.Errorf("not tried at its turn: %+v", got)
	}
}

// What was answered lately is no suspect, though its chain is counted and blocks; after a
// while it is one as any other.
func TestWhatWasAnsweredLatelyIsNoSuspect(t *testing.T) {
	v := newVM(t)
	v.Survived(at(0), content(1))
	v.crashed(1, time.Second)
	v.crashed(2, 1100*ms)
	v.is(2*time.Second, Free)
	v.is(recentFor, Suspect)
	v.crashed(3, 1200*ms)
	v.crashed(4, 1300*ms)
	v.is(2*time.Second, Blocked)
	for i := range 3 * maxRecent {
		v.Survived(at(3*time.Second), content(i+10))
	}
	if len(v.recent.at) > maxRecent {
		t.Errorf("%d answers are remembered", len(v.recent.at))
	}
}

// Symptom: memory grows with each upstream that ends.
// Sequence: a great many requests lose their upstreams; peers tell of as many.
// Cause: records without a bound. What is blocked stays, whatever else comes.
func TestTheTableIsBounded(t *testing.T) {
	v := newVM(t)
	for u := range uint32(4) {
		v.crashed(u, time.Duration(u)*2*time.Second)
	}
	for i := range 3 * maxRecords {
		now := 10*time.Second + time.Duration(i)*ms
		v.Crashed(at(now), content(i+2), crash(1, now))
		v.Merge(at(now), Entry{Content: content(-i - 2), Epoch: 1, Rounds: 1, Ended: []uint32{7}})
	}
	if len(v.records) > maxRecords {
		t.Errorf("%d records", len(v.records))
	}
	v.is(20*time.Second, Blocked)
	v.Expire(at(30 * 24 * time.Hour))
	if !v.Empty() {
		t.Errorf("%d records are kept for ever", len(v.records))
	}
}

// Peers are told of a suspect when its attempt has ended, or goes on for long, and not of
// one that is cleared before; they are told at once of one that is blocked.
func TestWhenPeersAreTold(t *testing.T) {
	v := newVM(t)
	for u := range uint32(3) {
		v.crashed(u, 0)
	}
	if v.HasNews() {
		t.Error("told while the attempt goes on")
	}
	v.Expire(at(tellSuspect - ms))
	if v.HasNews() {
		t.Error("told too soon")
	}
	v.Expire(at(tellSuspect))
	if !v.HasNews() {
		t.Error("not told although the attempt lasts")
	}
	v = newVM(t)
	for u := range uint32(3) {
		v.crashed(u, 0)
	}
	v.Survived(at(ms), content(1))
	if v.HasNews() {
		t.Error("told that an attempt was cleared of which nobody knew")
	}
	for u := range uint32(4) {
		v.crashed(u, time.Duration(u)*50*ms)
	}
	if !v.HasNews() {
		t.Error("not told at once of one that is blocked")
	}
}

// Guards against a second VM that sends a request to another copy of each shard while the
// first VM's attempt, under which a dozen upstreams have ended, goes on.
func TestManyCrashesAreToldAtOnce(t *testing.T) {
	v, peer := newVM(t), newVM(t)
	for u := range uint32(MaxEnded - 1) {
		v.crashed(u, 30*ms)
	}
	if v.HasNews() {
		t.Error("told of before it is sure that not just some parts are lost")
	}
	v.crashed(MaxEnded, 31*ms)
	for _, e := range v.News(at(31*ms), 16) {
		peer.Merge(at(31*ms), e)
	}
	peer.is(31*ms, Suspect)
	v.crashed(MaxEnded+1, 32*ms)
	v.Survived(at(40*ms), content(1))
	for _, e := range v.News(at(40*ms), 16) {
		peer.Merge(at(40*ms), e)
	}
	peer.is(40*ms, Free)
}

// What was told is told again, so that a VM which missed it hears of it; crashes that make no
// suspect only for a while.
func TestEntriesAreRepeated(t *testing.T) {
	v := newVM(t)
	for i := range 40 {
		v.Crashed(start, content(i), crash(1, 0))
		if i < 20 {
			v.Crashed(at(50*ms), content(i), crash(2, 50*ms))
		}
		v.Unanswered(content(i))
	}
	if n := len(v.News(at(time.Second), 100)); n != 40 || v.HasNews() {
		t.Fatalf("%d are news", n)
	}
	heard := map[fingerprint.Fingerprint]bool{}
	for range 6 {
		for _, e := range v.Repeat(at(time.Second), 8) {
			heard[e.Content] = true
		}
	}
	if len(heard) != 40 {
		t.Errorf("%d of 40 are told again", len(heard))
	}
	heard = map[fingerprint.Fingerprint]bool{}
	for range 2 {
		for _, e := range v.Repeat(at(2*repeatFor), 100) {
			heard[e.Content] = true
		}
	}
	if len(heard) != 20 {
		t.Errorf("%d are told for ever, 20 are suspects", len(heard))
	}
}

// However words travel, and in whatever order they arrive, VMs that have heard all of them
// treat the request alike; and one that an upstream has survived since its last crash is
// free.
func TestVMsAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := []vm{newVM(t), newVM(t), newVM(t)}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		now := time.Duration(0)
		var words []Entry
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * ms
			v := rapid.SampledFrom(vms).Draw(rt, "vm")
			switch rapid.IntRange(0, 5).Draw(rt, "what") {
			case 0:
				v.Survived(at(now), content(1))
			case 1:
				if len(words) > 0 {
					e := words[random.IntN(len(words))]
					v.Merge(at(now), e)
				}
			default:
				v.crashed(uint32(rapid.IntRange(0, 9).Draw(rt, "upstream")), now)
				v.Unanswered(content(1))
			}
			words = append(words, v.News(at(now), 16)...)
		}
		// Everybody tells everybody until nothing is new.
		for range 3 {
			for _, from := range vms {
				for _, to := range vms {
					for _, e := range from.All(at(now), 16) {
						to.Merge(at(now), e)
					}
				}
			}
		}
		// What a VM has answered lately itself is no suspect there, which the others cannot
		// know: they agree once that is over.
		now += recentFor
		want, _ := vms[0].Standing(at(now), content(1))
		for i, v := range vms {
			if got, _ := v.Standing(at(now), content(1)); got != want {
				rt.Fatalf("VM %d holds it for %s, VM 0 for %s", i, got, want)
			}
		}
	})
}
