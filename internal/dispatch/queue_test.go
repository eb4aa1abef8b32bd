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

// drain serves one item at a time and returns customer and id of each, in order.
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
		"first come, first served": {FIFO, []*Item{
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

// A low-priority item is served although 100 items of high priority wait for the
// same slot: strict priority has a bound.
func TestStarvation(t *testing.T) {
	g := NewWithT(t)
	q := New(Options{Slots: 1, MaxQueue: 200})
	q.Push(at(0), item(1, "low", pb.Priority_LOW, 1000))
	for i := range uint64(100) {
		q.Push(at(0), item(2+i, "high", pb.Priority_HIGH, 1000))
	}
	g.Expect(drain(q, at(0))[maxBypass]).To(Equal("low1"))
}

// A customer that fills the queue does not cause the requests of others to fail:
// they displace its items up to their share.
func TestFullQueue(t *testing.T) {
	g := NewWithT(t)
	q := New(Options{Slots: 1, MaxQueue: 6})
	for i := range uint64(6) {
		q.Push(at(0), item(1+i, "a", pb.Priority_LOW, 1000))
	}
	refusal, _ := q.Push(at(0), item(7, "a", pb.Priority_LOW, 1000))
	g.Expect(refusal.Reason).To(Equal(QueueFull))
	for i, want := range []struct {
		customer  string
		priority  pb.Priority
		displaces uint64
		refused   Reason
	}{
		{customer: "b", priority: pb.Priority_LOW, displaces: 6},
		{customer: "b", priority: pb.Priority_LOW, displaces: 5},
		{customer: "b", priority: pb.Priority_LOW, displaces: 4},
		{customer: "b", priority: pb.Priority_LOW, refused: QueueFull},
		{customer: "c", priority: pb.Priority_LOW, displaces: 3},
		// A higher class displaces a lower class of the same customer.
		{customer: "a", priority: pb.Priority_HIGH, displaces: 2},
	} {
		refusal, displaced := q.Push(at(0), item(uint64(20+i), want.customer, want.priority, 1000))
		if want.refused != "" {
			g.Expect(refusal.Reason).To(Equal(want.refused), "step %d", i)
			continue
		}
		g.Expect(refusal).To(BeNil(), "step %d", i)
		g.Expect(displaced.Item.Key.ID).To(Equal(want.displaces), "step %d", i)
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
		"deadline passed":                              {0, pb.Priority_LOW, 0, DeadlinePassed, 0},
		"enough time left":                             {4, pb.Priority_LOW, 100, "", 0},
		"the predicted wait is too long":               {8, pb.Priority_LOW, 50, PredictedWait, 45 * time.Millisecond},
		"an earlier deadline goes first":               {8, pb.Priority_LOW, 40, "", 0},
		"a higher class does not wait for a lower one": {8, pb.Priority_HIGH, 50, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			q := New(Options{Slots: 2, MaxQueue: 100})
			occupySlots(q, 2, 10*time.Millisecond)
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

// occupySlots occupies n slots and feeds the queue a steady service time.
func occupySlots(q *Queue, n int, service time.Duration) {
	for i := range n {
		q.Push(at(0), item(uint64(1000+i), "busy", pb.Priority_LOW, 10_000))
		q.Pop(at(0))
	}
	for range 100 {
		q.service.observe(service)
	}
}

// An item with 5 ms left takes no slot when the service time is 20 ms: its
// answer would be too late for its caller.
func TestCannotFinish(t *testing.T) {
	g := NewWithT(t)
	q := New(Options{Slots: 2, MaxQueue: 100})
	occupySlots(q, 2, 20*time.Millisecond)
	g.Expect(q.Push(at(0), item(1, "a", pb.Priority_LOW, 100))).To(BeNil())
	g.Expect(q.Push(at(0), item(2, "b", pb.Priority_LOW, 300))).To(BeNil())
	q.Release()
	next, late := q.Pop(at(95))
	g.Expect(next.Key.ID).To(Equal(uint64(2)))
	g.Expect(late).To(HaveLen(1))
	g.Expect(late[0].Reason).To(Equal(CannotFinish))
}

// An idle upstream is tried although the estimate has risen to a second and
// deadlines are 100 ms. Refusing on the estimate would leave it without new
// observations, and the upstream unused.
func TestIdleUpstreamIsTried(t *testing.T) {
	g := NewWithT(t)
	q := New(Options{Slots: 2, MaxQueue: 100})
	q.service.observe(time.Second)
	g.Expect(q.Push(at(0), item(1, "a", pb.Priority_LOW, 100))).To(BeNil())
	next, _ := q.Pop(at(0))
	g.Expect(next).NotTo(BeNil())
}

// An item is answered when its deadline passes, even if every slot hangs and Pop
// starts nothing.
func TestExpire(t *testing.T) {
	g := NewWithT(t)
	q := New(Options{Slots: 1, MaxQueue: 100})
	occupySlots(q, 1, time.Millisecond)
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
		queued := map[uint64]*Item{}
		running := 0
		leave := func(it *Item) {
			if queued[it.Key.ID] != it {
				t.Fatalf("item %d left twice or was never in", it.Key.ID)
			}
			delete(queued, it.Key.ID)
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
					queued[id] = it
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
			"": func(t *rapid.T) { checkInvariants(t, q, len(queued), running) },
		})
	})
}

func checkInvariants(t *rapid.T, q *Queue, queued, running int) {
	if q.Len() != queued || queued > 8 {
		t.Fatalf("holds %d, want %d and at most 8", q.Len(), queued)
	}
	if q.Running() != running || running > 3 {
		t.Fatalf("runs %d, want %d and at most 3", q.Running(), running)
	}
	byClass, byCustomer := 0, 0
	for i := range q.classes {
		byClass += q.classes[i].len
	}
	weight := 0.0
	for _, cu := range q.active {
		byCustomer += cu.len
		weight += cu.weight
	}
	if byClass != queued || byCustomer != queued || weight != q.weight {
		t.Fatalf("indices disagree: %d by class, %d by customer, %d in all", byClass, byCustomer, queued)
	}
}
