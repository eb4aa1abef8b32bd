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

// crash returns a crash at the given time after start, of a request sent 30 ms earlier.
func crash(upstream uint32, ended time.Duration) Crash {
	return Crash{Instance: upstream, SentAt: at(ended - 30*ms), EndedAt: at(ended)}
}

// vm wraps a Table with helpers for tests.
type vm struct {
	*Table
	t *testing.T
}

func newVM(t *testing.T) vm { return vm{New(), t} }

func (v vm) crashed(upstream uint32, ended time.Duration) {
	v.Crashed(at(ended), content(1), crash(upstream, ended))
}

func (v vm) expectStanding(now time.Duration, want Standing) {
	v.t.Helper()
	if got, _ := v.Standing(at(now), content(1)); got != want {
		v.t.Errorf("%s after %v, want %s", got, now, want)
	}
}

// sendPending ends v's attempt and merges v's pending entries into to.
func (v vm) sendPending(now time.Duration, to vm) {
	v.Unanswered(content(1))
	for _, e := range v.TakePending(at(now), 16) {
		to.Merge(at(now), e)
	}
}

// A request that crashes one upstream after another is blocked: by a trial that crashes
// another upstream later, or by the length of the chain.
func TestChainOfCrashesBlocks(t *testing.T) {
	v := newVM(t)
	v.crashed(1, 0)
	v.expectStanding(0, Free)
	v.crashed(2, 50*ms)
	v.expectStanding(50*ms, Suspect)
	v.crashed(3, 100*ms)
	v.expectStanding(100*ms, Suspect)
	v.crashed(4, 150*ms)
	v.expectStanding(150*ms, Blocked)

	v = newVM(t)
	v.crashed(1, 0)
	v.crashed(2, 50*ms)
	v.expectStanding(5*time.Second, Suspect)
	v.crashed(3, 5*time.Second)
	v.expectStanding(5*time.Second, Blocked)
}

// Guards against refusing innocent requests after many upstreams have ended at once: all
// replicas of all shards end for another reason while a query has parts at ten of them.
// Concurrent sends make up one round of a chain, whatever their number.
func TestSimultaneousCrashesDoNotBlock(t *testing.T) {
	v := newVM(t)
	for u := range uint32(10) {
		v.crashed(u, time.Duration(u)*ms)
	}
	v.expectStanding(20*ms, Suspect)
	if change := v.Survived(at(5*time.Second), content(1)); change.Was != Suspect || change.Is != Free {
		t.Errorf("%+v", change)
	}
	v.expectStanding(5*time.Second, Free)
}

// Guards against blocking an innocent request when many upstreams end at once: a send at the
// exact time of the crash counted as one made after the crash.
func TestSendsAtTimeOfCrashBelongToSameRound(t *testing.T) {
	v := newVM(t)
	for u := range uint32(6) {
		v.Crashed(start, content(1), Crash{Instance: u, SentAt: start, EndedAt: start})
	}
	v.expectStanding(0, Suspect)
}

// Guards against blocking an innocent request without a trial: two upstreams end under it at
// once, and a third one later, each because of another request. It has been no suspect yet.
func TestNoRequestIsBlockedBeforeItIsASuspect(t *testing.T) {
	v := newVM(t)
	v.crashed(1, 0)
	v.crashed(2, 10*ms)
	v.expectStanding(10*ms, Free)
	v.crashed(3, 2*time.Second)
	v.expectStanding(2*time.Second, Suspect)
	v.crashed(4, 4*time.Second)
	v.expectStanding(4*time.Second, Blocked)
}

// A process of an upstream counts once, however many of its connections close. A later crash
// under the same name is that of another process.
func TestUpstreamProcessCountsOnce(t *testing.T) {
	v := newVM(t)
	for i := range 20 {
		v.crashed(1, time.Duration(i)*40*ms)
	}
	v.expectStanding(time.Second, Free)
	v.crashed(1, 5*time.Second)
	v.expectStanding(5*time.Second, Suspect)
	v.crashed(1, 10*time.Second)
	v.expectStanding(10*time.Second, Blocked)
}

// After a block ends, a trial that crashes its upstream renews the block for longer.
func TestExpiredBlockIsRetried(t *testing.T) {
	v := newVM(t)
	for u := range uint32(4) {
		v.crashed(u, time.Duration(u)*2*time.Second)
	}
	last := 4 * time.Second
	v.expectStanding(last+initialBlock-time.Second, Blocked)
	again := last + initialBlock + time.Minute
	v.expectStanding(again, Suspect)
	v.crashed(9, again)
	v.expectStanding(again+2*initialBlock, Blocked)
	v.Survived(at(again+initialBlock*blockGrowth+time.Minute), content(1))
	v.expectStanding(again+initialBlock*blockGrowth+time.Minute, Free)
}

// Guards against each VM letting the request through once: attempts arrive at a different VM
// each time and crash one upstream each, so that no VM sees more than one crash itself.
// Crashes reported by peers count like local ones.
func TestCrashesAtSeveralVMsFormOneChain(t *testing.T) {
	vms := []vm{newVM(t), newVM(t), newVM(t), newVM(t)}
	for i := range 3 {
		now := time.Duration(i) * 10 * time.Second
		vms[i].crashed(uint32(i), now)
		vms[i].Unanswered(content(1))
		for j := range vms {
			if j != i {
				for _, e := range vms[i].Snapshot(at(now), 16) {
					vms[j].Merge(at(now+20*ms), e)
				}
			}
		}
		for _, e := range vms[i].TakePending(at(now), 16) {
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

// Simultaneous crashes at several VMs make up one round of the chain.
func TestRoundsAtSeveralVMsAreNotSummed(t *testing.T) {
	a, b := newVM(t), newVM(t)
	a.crashed(1, 0)
	a.crashed(2, 40*ms)
	b.crashed(3, 5*ms)
	b.crashed(4, 45*ms)
	a.sendPending(60*ms, b)
	b.sendPending(60*ms, a)
	for _, v := range []vm{a, b} {
		if change := v.Survived(at(time.Second), content(1)); change.Was != Suspect {
			t.Errorf("%+v", change)
		}
	}
}

// An answer at one VM clears the request at all VMs. Older entries that arrive later do not
// make it a suspect again.
func TestAnswerClearsRequestAtAllVMs(t *testing.T) {
	a, b := newVM(t), newVM(t)
	for u := range uint32(4) {
		a.crashed(u, time.Duration(u)*2*time.Second)
	}
	late := a.Snapshot(at(7*time.Second), 16)
	a.sendPending(7*time.Second, b)
	late = append(late, a.Snapshot(at(7*time.Second), 16)...)
	b.expectStanding(8*time.Second, Blocked)
	b.Survived(at(9*time.Second), content(1))
	b.sendPending(9*time.Second, a)
	for _, e := range late {
		a.Merge(at(9500*ms), e)
	}
	a.expectStanding(10*time.Second, Free)
	a.crashed(7, 11*time.Second)
	a.expectStanding(11*time.Second, Free)
}

// While one VM tries a suspect, attempts at the others wait until the request is cleared or
// blocked, or until their maximum wait is over.
func TestOneTrialAtATime(t *testing.T) {
	a, b := newVM(t), newVM(t)
	a.crashed(1, 0)
	a.crashed(2, 50*ms)
	a.sendPending(60*ms, b)
	admit := func(v vm, now time.Duration, w TrialWait) Admission { return v.Admit(at(now), content(1), &w) }
	first := admit(a, time.Second, NewTrialWait(at(time.Second), 0))
	if first.Standing != Suspect || first.Held || !first.RetryAt.IsZero() {
		t.Errorf("a: %+v", first)
	}
	a.sendPending(time.Second, b)
	w := NewTrialWait(at(time.Second+10*ms), 0.5)
	if got := b.Admit(at(time.Second+10*ms), content(1), &w); got.RetryAt.IsZero() {
		t.Errorf("b starts a second trial: %+v", got)
	}
	end := time.Second + trialTimeout
	if got := admit(b, end+trialSpread/2-ms, w); got.RetryAt.IsZero() {
		t.Errorf("tried at the timeout of the trial, without a random delay: %+v", got)
	}
	if got := admit(b, end+trialSpread/2, w); !got.RetryAt.IsZero() || got.Held {
		t.Errorf("a trial without a result delays other attempts: %+v", got)
	}
	if got := admit(b, end+trialSpread/2+ms, TrialWait{}); !got.Held {
		t.Errorf("not refused after the maximum wait: %+v", got)
	}
	a.Survived(at(2*time.Second), content(1))
	if got := admit(a, 2*time.Second, w); got.Standing != Free {
		t.Errorf("cleared: %+v", got)
	}
}

// VMs that receive a suspect at the same time start their trials at different times.
func TestTrialsAreSpread(t *testing.T) {
	a := newVM(t)
	a.crashed(1, 0)
	a.crashed(2, 50*ms)
	w := NewTrialWait(at(time.Second), 0.5)
	if got := a.Admit(at(time.Second+trialSpread/2-ms), content(1), &w); got.RetryAt.IsZero() {
		t.Errorf("tried before its delay is over: %+v", got)
	}
	if got := a.Admit(at(time.Second+trialSpread/2), content(1), &w); !got.RetryAt.IsZero() {
		t.Errorf("not tried after its delay: %+v", got)
	}
}

// A recently answered request is no suspect until recentWindow is over. Its chain of crashes
// counts meanwhile and can block it.
func TestRecentlyAnsweredRequestIsNoSuspect(t *testing.T) {
	v := newVM(t)
	v.Survived(at(0), content(1))
	v.crashed(1, time.Second)
	v.crashed(2, 1100*ms)
	v.expectStanding(2*time.Second, Free)
	v.expectStanding(recentWindow, Suspect)
	v.crashed(3, 1200*ms)
	v.crashed(4, 1300*ms)
	v.expectStanding(2*time.Second, Blocked)
	for i := range 3 * maxRecent {
		v.Survived(at(3*time.Second), content(i+10))
	}
	if len(v.recent.survivedAt) > maxRecent {
		t.Errorf("%d answers are kept", len(v.recent.survivedAt))
	}
}

// Guards against memory that grows with each crash, when a large number of requests lose their
// upstreams here and at peers. A blocked request stays in the full table.
func TestTableIsBounded(t *testing.T) {
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
	v.expectStanding(20*time.Second, Blocked)
	v.Expire(at(30 * 24 * time.Hour))
	if !v.Empty() {
		t.Errorf("%d records never expire", len(v.records))
	}
}

// A suspect is sent to peers when its attempt has ended or runs for shareSuspectAfter, unless
// it is cleared before. A blocked request is sent at once.
func TestWhenEntriesBecomePending(t *testing.T) {
	v := newVM(t)
	for u := range uint32(3) {
		v.crashed(u, 0)
	}
	if v.HasPending() {
		t.Error("pending while the attempt runs")
	}
	v.Expire(at(shareSuspectAfter - ms))
	if v.HasPending() {
		t.Error("pending before shareSuspectAfter")
	}
	v.Expire(at(shareSuspectAfter))
	if !v.HasPending() {
		t.Error("not pending after shareSuspectAfter")
	}
	v = newVM(t)
	for u := range uint32(3) {
		v.crashed(u, 0)
	}
	v.Survived(at(ms), content(1))
	if v.HasPending() {
		t.Error("clearance of an unshared request is pending")
	}
	for u := range uint32(4) {
		v.crashed(u, time.Duration(u)*50*ms)
	}
	if !v.HasPending() {
		t.Error("blocked request is not pending at once")
	}
}

// Guards against crashes that peers learn of by repeats alone, seconds later: a peer's entry for
// the same request arrives while this VM's attempt still runs.
func TestOwnCrashesAreSentAfterAPeersEntry(t *testing.T) {
	a, b := newVM(t), newVM(t)
	a.crashed(1, 0)
	b.crashed(2, 5*ms)
	b.sendPending(10*ms, a)
	a.sendPending(40*ms, b)
	if n := b.records[content(1)].crashes(); n != 2 {
		t.Errorf("the peer counts %d crashes, want 2", n)
	}
	if a.Unanswered(content(1)); a.HasPending() {
		t.Error("pending again although peers have all")
	}
}

// Guards against a second VM that sends a request to another replica of each shard while the
// first VM's attempt, under which a dozen upstreams have ended, still runs.
func TestManyCrashesArePendingAtOnce(t *testing.T) {
	v, peer := newVM(t), newVM(t)
	for u := range uint32(MaxInstances - 1) {
		v.crashed(u, 30*ms)
	}
	if v.HasPending() {
		t.Error("pending below shareCrashes, when only some parts may be lost")
	}
	v.crashed(MaxInstances, 31*ms)
	for _, e := range v.TakePending(at(31*ms), 16) {
		peer.Merge(at(31*ms), e)
	}
	peer.expectStanding(31*ms, Suspect)
	v.crashed(MaxInstances+1, 32*ms)
	v.Survived(at(40*ms), content(1))
	for _, e := range v.TakePending(at(40*ms), 16) {
		peer.Merge(at(40*ms), e)
	}
	peer.expectStanding(40*ms, Free)
}

// Entries are re-sent for VMs that missed them; crashes that make no suspect only for
// repeatCrashesFor.
func TestEntriesAreRepeated(t *testing.T) {
	v := newVM(t)
	for i := range 40 {
		v.Crashed(start, content(i), crash(1, 0))
		if i < 20 {
			v.Crashed(at(50*ms), content(i), crash(2, 50*ms))
		}
		v.Unanswered(content(i))
	}
	if n := len(v.TakePending(at(time.Second), 100)); n != 40 || v.HasPending() {
		t.Fatalf("%d entries are pending", n)
	}
	resent := map[fingerprint.Fingerprint]bool{}
	for range 6 {
		for _, e := range v.NextRepeats(at(time.Second), 8) {
			resent[e.Content] = true
		}
	}
	if len(resent) != 40 {
		t.Errorf("%d of 40 entries are re-sent", len(resent))
	}
	resent = map[fingerprint.Fingerprint]bool{}
	for range 2 {
		for _, e := range v.NextRepeats(at(2*repeatCrashesFor), 100) {
			resent[e.Content] = true
		}
	}
	if len(resent) != 20 {
		t.Errorf("%d entries are re-sent without end, 20 are suspects", len(resent))
	}
}

// VMs that have received all entries, by any path and in any order, agree on the request's
// standing. A request that an upstream has survived since its last crash is free.
func TestVMsAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := []vm{newVM(t), newVM(t), newVM(t)}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		now := time.Duration(0)
		var sent []Entry
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * ms
			v := rapid.SampledFrom(vms).Draw(rt, "vm")
			switch rapid.IntRange(0, 5).Draw(rt, "what") {
			case 0:
				v.Survived(at(now), content(1))
			case 1:
				if len(sent) > 0 {
					e := sent[random.IntN(len(sent))]
					v.Merge(at(now), e)
				}
			default:
				v.crashed(uint32(rapid.IntRange(0, 9).Draw(rt, "upstream")), now)
				v.Unanswered(content(1))
			}
			sent = append(sent, v.TakePending(at(now), 16)...)
		}
		// All VMs exchange all entries until none is new.
		for range 3 {
			for _, from := range vms {
				for _, to := range vms {
					for _, e := range from.Snapshot(at(now), 16) {
						to.Merge(at(now), e)
					}
				}
			}
		}
		// A request that a VM answered recently is no suspect at that VM alone. The VMs agree
		// once recentWindow is over.
		now += recentWindow
		want, _ := vms[0].Standing(at(now), content(1))
		for i, v := range vms {
			if got, _ := v.Standing(at(now), content(1)); got != want {
				rt.Fatalf("VM %d has standing %s, VM 0 has %s", i, got, want)
			}
		}
	})
}
