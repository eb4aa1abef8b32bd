package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

var epoch = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func item(id uint64, customer string, p pb.Priority, deadlineMS int) *Item {
	return &Item{Key: Key{VM: "vm-1", Incarnation: 1, ID: id}, Customer: customer, Priority: p, Weight: 1, Deadline: at(deadlineMS)}
}

// drain serves one item at a time and names the customers in order.
func drain(q *Queue, now time.Time) []string {
	var out []string
	for {
		it, _ := q.Pop(now)
		if it == nil {
			return out
		}
		out = append(out, fmt.Sprintf("%s%d", it.Customer, it.Key.ID))
		q.Release()
	}
}

func TestOrder(t *testing.T) {
	weighted := item(1, "b", pb.Priority_LOW, 100)
	weighted.Weight = 2
	weighted2 := item(2, "b", pb.Priority_LOW, 100)
	weighted2.Weight = 2
	for name, c := range map[string]struct {
		order Order
		items []*Item
		want  []string
	}{
		"higher class first": {Fair, []*Item{
			item(1, "a", pb.Priority_LOW, 100), item(2, "b", pb.Priority_HIGH, 200), item(3, "c", pb.Priority_NORMAL, 50),
		}, []string{"b2", "c3", "a1"}},
		"earliest deadline within a customer": {Fair, []*Item{
			item(1, "a", pb.Priority_LOW, 300), item(2, "a", pb.Priority_LOW, 100), item(3, "a", pb.Priority_LOW, 200),
		}, []string{"a2", "a3", "a1"}},
		"customers take turns whatever their deadlines": {Fair, []*Item{
			item(1, "a", pb.Priority_LOW, 10), item(2, "a", pb.Priority_LOW, 11), item(3, "a", pb.Priority_LOW, 12),
			item(4, "b", pb.Priority_LOW, 900), item(5, "b", pb.Priority_LOW, 901),
		}, []string{"a1", "b4", "a2", "b5", "a3"}},
		"turns by weight": {Fair, []*Item{
			item(3, "a", pb.Priority_LOW, 100), item(4, "a", pb.Priority_LOW, 100), weighted, weighted2,
		}, []string{"a3", "b1", "b2", "a4"}},
		"first come, first served": {Arrival, []*Item{
			item(1, "a", pb.Priority_LOW, 300), item(2, "b", pb.Priority_HIGH, 100), item(3, "a", pb.Priority_LOW, 200),
		}, []string{"a1", "b2", "a3"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			q := New(Options{Order: c.order, Slots: 1, MaxQueue: 10})
			for _, it := range c.items {
				refusal, displaced := q.Push(at(0), it)
				g.Expect(refusal).To(BeNil())
				g.Expect(displaced).To(BeNil())
			}
			g.Expect(drain(q, at(0))).To(Equal(c.want))
		})
	}
}

// Symptom: a low-priority kind is never answered while a high one is busy.
// Sequence: 100 high items and one low one wait for one slot.
// Cause: strict priority without a bound.
func TestStarvation(t *testing.T) {
	g := NewWithT(t)
	q := New(Options{Slots: 1, MaxQueue: 200})
	q.Push(at(0), item(1, "low", pb.Priority_LOW, 1000))
	for i := range uint64(100) {
		q.Push(at(0), item(2+i, "high", pb.Priority_HIGH, 1000))
	}
	g.Expect(drain(q, at(0))[starvationTurns]).To(Equal("low1"))
}

// Symptom: one customer's burst makes every other customer's requests fail.
// Sequence: a fills the queue; b and c come after.
// Cause: a bound on the whole queue only.
func TestFullQueue(t *testing.T) {
	g := NewWithT(t)
	q := New(Options{Slots: 1, MaxQueue: 6})
	for i := range uint64(6) {
		q.Push(at(0), item(1+i, "a", pb.Priority_LOW, 1000))
	}
	refusal, _ := q.Push(at(0), item(7, "a", pb.Priority_LOW, 1000))
	g.Expect(refusal.Reason).To(Equal(QueueFull))
	for i, want := range []struct {
		customer string
		priority pb.Priority
		gives    uint64
		refused  Reason
	}{
		{customer: "b", priority: pb.Priority_LOW, gives: 6},
		{customer: "b", priority: pb.Priority_LOW, gives: 5},
		{customer: "b", priority: pb.Priority_LOW, gives: 4},
		{customer: "b", priority: pb.Priority_LOW, refused: QueueFull},
		{customer: "c", priority: pb.Priority_LOW, gives: 3},
		// A customer's higher class takes the place of its own lower one.
		{customer: "a", priority: pb.Priority_HIGH, gives: 2},
	} {
		refusal, displaced := q.Push(at(0), item(uint64(20+i), want.customer, want.priority, 1000))
		if want.refused != "" {
			g.Expect(refusal.Reason).To(Equal(want.refused), "step %d", i)
			continue
		}
		g.Expect(refusal).To(BeNil(), "step %d", i)
		g.Expect(displaced.Item.Key.ID).To(Equal(want.gives), "step %d", i)
		g.Expect(displaced.Result).To(Equal(pb.Result_QUEUE_FULL))
	}
	g.Expect(q.Len()).To(Equal(6))
}

func TestTooLate(t *testing.T) {
	for name, c := range map[string]struct {
		waiting  int
		priority pb.Priority
		deadline int
		want     Reason
		retry    time.Duration
	}{
		"time is up":                      {0, pb.Priority_LOW, 0, DeadlinePassed, 0},
		"room before the deadline":        {4, pb.Priority_LOW, 100, "", 0},
		"queue ahead too long":            {8, pb.Priority_LOW, 50, PredictedWait, 45 * time.Millisecond},
		"an earlier deadline goes first":  {8, pb.Priority_LOW, 40, "", 0},
		"a higher class waits for no one": {8, pb.Priority_HIGH, 50, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			q := New(Options{Slots: 2, MaxQueue: 100})
			busy(q, 2, 10*time.Millisecond)
			for i := range c.waiting {
				q.Push(at(0), item(uint64(100+i), "a", pb.Priority_LOW, 50))
			}
			refusal, _ := q.Push(at(0), item(1, "a", c.priority, c.deadline))
			if c.want == "" {
				g.Expect(refusal).To(BeNil())
				return
			}
			g.Expect(refusal.Reason).To(Equal(c.want))
			g.Expect(refusal.RetryAfter).To(Equal(c.retry))
		})
	}
}

// busy takes n slots and teaches the queue a steady service time.
func busy(q *Queue, n int, service time.Duration) {
	for i := range n {
		q.Push(at(0), item(uint64(1000+i), "busy", pb.Priority_LOW, 10_000))
		q.Pop(at(0))
	}
	for range 100 {
		q.service.observe(service)
	}
}

// Symptom: slots are taken by work whose answer comes too late for its caller.
// Sequence: an item with 5 ms left is next; the service takes 20 ms.
// Cause: only a passed deadline was looked at.
func TestCannotFinish(t *testing.T) {
	g := NewWithT(t)
	q := New(Options{Slots: 2, MaxQueue: 100})
	busy(q, 2, 20*time.Millisecond)
	g.Expect(q.Push(at(0), item(1, "a", pb.Priority_LOW, 100))).To(BeNil())
	g.Expect(q.Push(at(0), item(2, "b", pb.Priority_LOW, 300))).To(BeNil())
	q.Release()
	next, late := q.Pop(at(95))
	g.Expect(next.Key.ID).To(Equal(uint64(2)))
	g.Expect(late).To(HaveLen(1))
	g.Expect(late[0].Reason).To(Equal(CannotFinish))
}

// Symptom: an upstream that was slow for a while is never used again.
// Sequence: the estimate has risen to a second, deadlines are 100 ms, all slots
// are free.
// Cause: every request is refused on the estimate, so that no new time comes in.
func TestIdleUpstreamIsTried(t *testing.T) {
	g := NewWithT(t)
	q := New(Options{Slots: 2, MaxQueue: 100})
	q.service.observe(time.Second)
	g.Expect(q.Push(at(0), item(1, "a", pb.Priority_LOW, 100))).To(BeNil())
	next, _ := q.Pop(at(0))
	g.Expect(next).NotTo(BeNil())
}

// Symptom: an expired item is answered only when a slot becomes free.
// Sequence: every slot hangs; the deadline passes.
// Cause: deadlines were looked at in Pop alone.
func TestExpire(t *testing.T) {
	g := NewWithT(t)
	q := New(Options{Slots: 1, MaxQueue: 100})
	busy(q, 1, time.Millisecond)
	q.Push(at(0), item(1, "a", pb.Priority_LOW, 50))
	q.Push(at(0), item(2, "b", pb.Priority_HIGH, 500))
	late := q.Expire(at(50))
	g.Expect(late).To(HaveLen(1))
	g.Expect(late[0].Item.Key.ID).To(Equal(uint64(1)))
	g.Expect(q.Len()).To(Equal(1))
}

// TestQueueProperties drives the queue with random events and checks that every
// item leaves it exactly once, that bounds hold and that indices agree.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Options{Slots: 3, MaxQueue: 8})
		now, id := 0, uint64(0)
		inside := map[uint64]*Item{}
		running := 0
		leave := func(it *Item) {
			if inside[it.Key.ID] != it {
				t.Fatalf("item %d left twice or was never in", it.Key.ID)
			}
			delete(inside, it.Key.ID)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				id++
				it := item(id, rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "customer"),
					pb.Priority(rapid.IntRange(0, 3).Draw(t, "priority")), now+rapid.IntRange(0, 60).Draw(t, "left"))
				it.Weight = uint32(rapid.IntRange(0, 4).Draw(t, "weight"))
				refusal, displaced := q.Push(at(now), it)
				if displaced != nil {
					leave(displaced.Item)
				}
				if refusal == nil {
					inside[id] = it
				}
			},
			"pop": func(t *rapid.T) {
				next, late := q.Pop(at(now))
				for _, l := range late {
					leave(l.Item)
				}
				if next != nil {
					leave(next)
					running++
					if !at(now).Before(next.Deadline) {
						t.Fatal("started after its deadline")
					}
				}
			},
			"done": func(t *rapid.T) {
				if running > 0 {
					running--
					q.Done(time.Duration(rapid.IntRange(1, 20).Draw(t, "took"))*time.Millisecond, false)
				}
			},
			"cancel": func(t *rapid.T) {
				k := item(rapid.Uint64Range(0, id).Draw(t, "id"), "", 0, 0).Key
				if it, ok := q.Cancel(k); ok {
					leave(it)
				}
			},
			"expire": func(t *rapid.T) {
				now += rapid.IntRange(0, 20).Draw(t, "ms")
				for _, l := range q.Expire(at(now)) {
					leave(l.Item)
				}
			},
			"flush": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
					for _, r := range q.Flush(Refusal{}) {
						leave(r.Item)
					}
				}
			},
			"": func(t *rapid.T) { check(t, q, len(inside), running) },
		})
	})
}

func check(t *rapid.T, q *Queue, inside, running int) {
	if q.Len() != inside || inside > 8 {
		t.Fatalf("holds %d, want %d and at most 8", q.Len(), inside)
	}
	if q.Running() != running || running > 3 {
		t.Fatalf("runs %d, want %d and at most 3", q.Running(), running)
	}
	byClass, byHolder := 0, 0
	for i := range q.classes {
		byClass += q.classes[i].len
	}
	weight := 0.0
	for _, cu := range q.holders {
		byHolder += cu.len
		weight += cu.weight
	}
	if byClass != inside || byHolder != inside || weight != q.weight {
		t.Fatalf("indices disagree: %d by class, %d by customer, %d in all", byClass, byHolder, inside)
	}
}
