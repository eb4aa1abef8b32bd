package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// crashOver returns a crash of an upstream's process over a connection opened at the given time
// after start.
func crashOver(upstream uint32, connected, ended time.Duration) Crash {
	c := crash(upstream, ended)
	c.ConnectedAt, c.SentAt = at(connected), at(connected)
	return c
}

// observe records a crash over a connection and ends the attempt.
func (v vm) observe(upstream uint32, connected, ended time.Duration) {
	v.Crashed(at(ended), content(1), crashOver(upstream, connected, ended))
	v.Unanswered(content(1))
}

// exchange sends the pending entries of all VMs to all others until none is left. Each message
// takes delay.
func exchange(now, delay time.Duration, vms ...vm) {
	for pending := true; pending; {
		pending = false
		for _, from := range vms {
			for _, e := range from.TakePending(at(now), 16) {
				pending = true
				for _, to := range vms {
					if to.Table != from.Table {
						to.Merge(at(now+delay), e)
					}
				}
			}
		}
		now += delay
	}
}

// Guards against a process that crashes, restarts and crashes again under the same request, and
// is counted once because the VM does not have its new registration yet.
func TestProcessRestartedBeforeItsRegistrationCounts(t *testing.T) {
	v := newVM(t)
	v.observe(1, 0, 10*ms)
	v.expectStanding(10*ms, Free)
	v.observe(1, 20*ms, 30*ms)
	v.expectStanding(30*ms, Suspect)
	v.observe(1, 40*ms, 50*ms)
	v.observe(1, 60*ms, 70*ms)
	v.expectStanding(70*ms, Blocked)
}

// Guards against the same fault at several VMs: each sees one of three processes end before it
// hears of the others, and knows the same registration.
func TestProcessesRestartedBetweenVMsCount(t *testing.T) {
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0}, {2, 0, 1}} {
		vms := []vm{newVM(t), newVM(t), newVM(t)}
		for i, v := range vms {
			begun := time.Duration(i) * 40 * ms
			v.observe(1, begun, begun+10*ms)
		}
		var reordered []vm
		for _, i := range order {
			reordered = append(reordered, vms[i])
		}
		exchange(100*ms, 15*ms, reordered...)
		for i, v := range vms {
			if n := v.records[content(1)].crashes(); n != 3 {
				t.Errorf("order %v: VM %d counts %d crashes, want 3", order, i, n)
			}
			v.expectStanding(200*ms, Suspect)
		}
	}
}

// Guards against suspecting an innocent request of which several VMs had sends at one process
// when it ended, over connections of any age.
func TestConnectionsOfSeveralVMsToOneProcessCountOnce(t *testing.T) {
	vms := []vm{newVM(t), newVM(t), newVM(t), newVM(t)}
	vms[0].observe(1, -time.Minute, 100*ms)
	vms[1].observe(1, 98*ms, 100*ms)
	vms[1].observe(1, 99*ms, 101*ms)
	vms[2].observe(1, 50*ms, 104*ms)
	vms[3].Crashed(at(102*ms), content(1), Crash{Instance: 1, SentAt: at(90 * ms), EndedAt: at(102 * ms)})
	vms[3].Unanswered(content(1))
	exchange(110*ms, 15*ms, vms...)
	for i, v := range vms {
		if n := v.records[content(1)].crashes(); n != 1 {
			t.Errorf("VM %d counts %d crashes of one process", i, n)
		}
	}
}

// Whatever VMs observe of the processes of one upstream, and in whichever order, late or repeated
// messages reach them, no VM counts more processes than have ended. If messages are faster than
// restarts, all VMs count each process that any of them has seen.
func TestCountsOfEndedProcesses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		slow := rapid.Bool().Draw(rt, "slow messages")
		vms := []vm{newVM(t), newVM(t), newVM(t)}
		type message struct {
			sent time.Duration
			Entry
		}
		var sent []message
		deliver := func(now time.Duration) {
			for range 3 {
				if len(sent) == 0 {
					return
				}
				m := sent[random.IntN(len(sent))]
				if delay := now - m.sent; slow || delay < 5*ms {
					vms[random.IntN(len(vms))].Merge(at(now), m.Entry)
				}
			}
		}
		now, observed := time.Duration(0), 0
		processes := rapid.IntRange(1, suspectCrashes-1).Draw(rt, "processes")
		for range processes {
			begun := now
			ended := begun + time.Duration(5+random.IntN(20))*ms
			seen := false
			for _, v := range vms {
				for range random.IntN(3) {
					seen = true
					connected := begun + time.Duration(random.Int64N(int64(ended-begun)))
					v.observe(1, connected, ended+time.Duration(random.IntN(3))*ms)
					now = max(now, ended+3*ms)
					deliver(now)
				}
				for _, e := range v.TakePending(at(now), 16) {
					sent = append(sent, message{now, e})
				}
			}
			if seen {
				observed++
			}
			now = max(now, ended+3*ms) + time.Duration(20+random.IntN(30))*ms
			deliver(now)
		}
		for range 4 {
			for _, from := range vms {
				for _, e := range from.Snapshot(at(now), 16) {
					for _, to := range vms {
						to.Merge(at(now+ms), e)
					}
				}
			}
		}
		for i, v := range vms {
			n := 0
			if r := v.records[content(1)]; r != nil {
				n = r.ended.count()
			}
			if n > observed || n < observed && !slow {
				rt.Fatalf("VM %d counts %d processes, %d were seen to end", i, n, observed)
			}
		}
	})
}
