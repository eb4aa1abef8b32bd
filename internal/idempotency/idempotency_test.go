package idempotency

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const (
	life  = 10 * time.Second
	grace = 5 * time.Second
)

// TestMain fixes rapid's seed, so that every run draws the same events. The
// flags -rapid.seed and -rapid.checks override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// reply is an outcome whose size is its length.
type reply string

func (r reply) Size() int { return len(r) }

func newTable(vm string, incarnation uint64) *Table[reply] {
	return NewTable[reply](Options{
		VM:          vm,
		Incarnation: incarnation,
		Secret:      bytes.Repeat([]byte{byte(incarnation)}, KeySize),
		Life:        life,
		Grace:       grace,
		MaxRefused:  3,
	})
}

func TestKeyText(t *testing.T) {
	g := NewWithT(t)
	table := newTable("vm-1.a", 77)
	key := &Key{Lease: *table.Issue(0, "office"), Counter: 12}
	read, err := ParseKey(key.String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read).To(Equal(key))
	prefix := key.Prefix()
	for _, text := range []string{
		"",
		"a-key-of-the-caller's",
		prefix,
		prefix + ".",
		prefix + ".012",
		prefix + ".-1",
		prefix + ".1.2",
		prefix + ".18446744073709551616",
		strings.Replace(prefix, "vm-1.a", "", 1) + ".1",
		strings.Replace(prefix, "op1", "op2", 1) + ".1",
		prefix[:len(prefix)-1] + ".1",
		prefix + "." + strings.Repeat("1", MaxKeyLength),
	} {
		_, err := ParseKey(text)
		g.Expect(err).To(HaveOccurred(), text)
	}
}

// A customer or process must not run or read operations of a lease that was not
// issued to it. The key is sent by another customer, with a changed expiry or
// serial, or to another incarnation of the same VM. A MAC that does not cover
// every field, the customer and the incarnation would fail.
func TestForeignKeys(t *testing.T) {
	g := NewWithT(t)
	table := newTable("vm-1", 1)
	key := Key{Lease: *table.Issue(0, "office"), Counter: 1}
	later, other := key, key
	later.Expires += 1000
	other.Serial++
	begin := func(t *Table[reply], customer string, k Key) Verdict {
		return t.Begin(0, customer, &k, Digest{}, 10).Verdict
	}
	g.Expect(begin(table, "counsel", key)).To(Equal(Foreign))
	g.Expect(begin(table, "office", later)).To(Equal(Foreign))
	g.Expect(begin(table, "office", other)).To(Equal(Foreign))
	g.Expect(begin(newTable("vm-1", 2), "office", key)).To(Equal(Foreign))
	g.Expect(begin(newTable("vm-2", 1), "office", key)).To(Equal(Foreign))
	g.Expect(begin(table, "office", key)).To(Equal(New))
}

// tableStep is one event and the wanted verdict; at is in seconds.
type tableStep struct {
	at      float64
	counter uint64
	body    string
	// finish ends the operation: "ran" or "refused".
	finish string
	want   Verdict
}

func TestTable(t *testing.T) {
	cases := []struct {
		name  string
		steps []tableStep
	}{
		{"a resend gets the first outcome", []tableStep{
			{1, 1, "a", "", New}, {2, 1, "a", "", Running}, {3, 1, "", "ran", 0}, {4, 1, "a", "", Decided},
		}},
		{"the outcome is kept past the end of the lease", []tableStep{
			{9, 1, "a", "", New}, {9, 1, "", "ran", 0}, {14, 1, "a", "", Decided}, {14, 2, "a", "", Expired}, {15, 1, "a", "", Forgotten},
		}},
		{"a refused operation stays refused", []tableStep{
			{1, 1, "a", "", New}, {1, 1, "", "refused", 0}, {2, 1, "a", "", Decided},
		}},
		{"a running operation is never removed", []tableStep{
			{1, 1, "a", "", New}, {40, 1, "a", "", Running}, {41, 1, "", "ran", 0}, {42, 2, "a", "", Forgotten},
		}},
		{"another body under the same key", []tableStep{
			{1, 1, "a", "", New}, {1, 1, "b", "", Mismatch}, {2, 1, "", "ran", 0}, {3, 1, "b", "", Mismatch},
		}},
		{"a fifth operation exceeds the limit", []tableStep{
			{1, 1, "a", "", New}, {1, 2, "a", "", New}, {1, 3, "a", "", New}, {1, 4, "a", "", New},
			{1, 5, "a", "", Full}, {1, 1, "a", "", Running}, {1, 5, "a", "", Decided},
		}},
		// A request must not run again after its lease has expired: a handler
		// reads the clock and is paused, another one causes the operations of
		// the lease to be removed, and the first continues with its old time.
		// Expiry and removal must use the same clock reading.
		{"a clock reading from before a pause", []tableStep{
			{1, 1, "a", "", New}, {1, 1, "", "ran", 0}, {30, 2, "a", "", Forgotten}, {1, 1, "a", "", Forgotten},
		}},
		{"too many refusals close the lease", []tableStep{
			{1, 1, "a", "", New}, {1, 1, "", "refused", 0}, {1, 2, "a", "", New}, {1, 2, "", "refused", 0},
			{1, 3, "a", "", New}, {1, 3, "", "refused", 0}, {1, 4, "a", "", New}, {1, 4, "", "refused", 0},
			{2, 1, "a", "", Closed}, {2, 4, "a", "", Closed}, {2, 9, "a", "", Closed},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTable("vm-1", 1)
			lease := *table.Issue(0, "office")
			for i, s := range c.steps {
				key := &Key{Lease: lease, Counter: s.counter}
				now := time.Duration(s.at * float64(time.Second))
				if s.finish != "" {
					table.Finish(now, "office", key, reply(s.finish), s.finish == "ran")
					continue
				}
				d := table.Begin(now, "office", key, DigestOf("pay", []byte(s.body)), 4)
				if d.Verdict != s.want {
					t.Fatalf("step %d: %s, want %s", i, d.Verdict, s.want)
				}
				if d.Verdict == Full {
					table.Refuse(now, "office", key, "full")
				}
			}
		})
	}
}

// keyModel is what the caller of one key has been answered.
type keyModel struct {
	key     *Key
	started bool
	ended   bool
	// notRun is set once a caller was answered that the operation did not run.
	notRun  bool
	outcome reply
}

// tableModel sends copies of requests to a table in any order and at any time.
type tableModel struct {
	table         *Table[reply]
	now           time.Duration
	keys          []*keyModel
	maxOperations int
}

func (m *tableModel) step(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
	switch {
	case len(m.keys) == 0 || rapid.IntRange(0, 3).Draw(t, "what") == 0:
		lease := m.table.Issue(m.now, "office")
		for c := range uint64(3) {
			m.keys = append(m.keys, &keyModel{key: &Key{Lease: *lease, Counter: c}})
		}
	default:
		k := m.keys[rapid.IntRange(max(0, len(m.keys)-12), len(m.keys)-1).Draw(t, "key")]
		if k.started && !k.ended && rapid.Bool().Draw(t, "finish") {
			m.finish(t, k)
			return
		}
		m.begin(t, k)
	}
}

func (m *tableModel) finish(t *rapid.T, k *keyModel) {
	ran := rapid.Bool().Draw(t, "ran")
	k.ended = true
	k.notRun = k.notRun || !ran
	k.outcome = reply(fmt.Sprint("outcome of ", k.key.Counter))
	m.table.Finish(m.now, "office", k.key, k.outcome, ran)
}

func (m *tableModel) begin(t *rapid.T, k *keyModel) {
	// Some copies carry a clock reading from before a pause.
	stale := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "stale")) * time.Millisecond
	d := m.table.Begin(max(0, m.now-stale), "office", k.key, Digest{}, m.maxOperations)
	switch d.Verdict {
	case New:
		if k.started || k.notRun {
			t.Fatalf("%d starts again: started %v, not run %v", k.key.Counter, k.started, k.notRun)
		}
		k.started = true
	case Decided:
		if d.Outcome != k.outcome {
			t.Fatalf("outcome %q, want %q", d.Outcome, k.outcome)
		}
	case Running:
		if !k.started || k.ended {
			t.Fatalf("reported as running: started %v, ended %v", k.started, k.ended)
		}
	case Full, Expired, Closed:
		if k.started && !k.notRun {
			t.Fatalf("%s reports not run, but it ran", d.Verdict)
		}
		k.notRun = true
		if d.Verdict == Full {
			k.outcome = "full"
			m.table.Refuse(m.now, "office", k.key, k.outcome)
		}
	}
}

func (m *tableModel) check(t *rapid.T) {
	operations, refused := m.table.Len("office")
	if operations > m.maxOperations || refused > m.table.opts.MaxRefused {
		t.Fatalf("%d operations and %d refusals are held", operations, refused)
	}
	if bytes := m.table.Bytes("office"); bytes < 0 || bytes > operations*len("outcome of 1") {
		t.Fatalf("%d bytes are held", bytes)
	}
}

// A request must not run twice, nor run after it was reported as not run.
// Copies arrive in any order, before and after the end of the operation, the
// expiry, a refusal, a full table and a pause. The table must not lose a key
// that may still be used.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &tableModel{table: newTable("vm-1", 1), maxOperations: 4}
		for range 120 {
			m.step(t)
			m.check(t)
		}
	})
}
