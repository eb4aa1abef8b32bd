package once

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

// TestMain fixes rapid's seed, so that every run draws the same events; the
// flags -rapid.seed and -rapid.checks still draw others.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// reply is an outcome of a fixed size.
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

// Symptom: a customer, or another process, runs or reads the operations of a lease
// that it was never given.
// Sequence: the key is sent by another customer; or its expiry or serial is
// edited; or it is sent to another incarnation with the same name.
// Cause: a MAC that does not cover every field, the customer and the incarnation.
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

// step is one event of a table test and the verdict wanted; at is in seconds.
type step struct {
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
		steps []step
	}{
		{"a resend gets the first outcome", []step{
			{1, 1, "a", "", New}, {2, 1, "a", "", Running}, {3, 1, "", "ran", 0}, {4, 1, "a", "", Known},
		}},
		{"the outcome is kept past the end of the lease", []step{
			{9, 1, "a", "", New}, {9, 1, "", "ran", 0}, {14, 1, "a", "", Known}, {14, 2, "a", "", Expired}, {15, 1, "a", "", Forgotten},
		}},
		{"a refused operation stays refused", []step{
			{1, 1, "a", "", New}, {1, 1, "", "refused", 0}, {2, 1, "a", "", Known},
		}},
		{"an operation still running is never forgotten", []step{
			{1, 1, "a", "", New}, {40, 1, "a", "", Running}, {41, 1, "", "ran", 0}, {42, 2, "a", "", Forgotten},
		}},
		{"another body under the same key", []step{
			{1, 1, "a", "", New}, {1, 1, "b", "", Mismatch}, {2, 1, "", "ran", 0}, {3, 1, "b", "", Mismatch},
		}},
		{"no room for a fifth operation", []step{
			{1, 1, "a", "", New}, {1, 2, "a", "", New}, {1, 3, "a", "", New}, {1, 4, "a", "", New},
			{1, 5, "a", "", Full}, {1, 1, "a", "", Running}, {1, 5, "a", "", Known},
		}},
		// Symptom: a request runs a second time after its lease has ended.
		// Sequence: a handler reads the clock, its thread is paused; another one
		// forgets the lease's operations; the first goes on with its old time.
		// Cause: "expired" and "forgotten" judged by different clock readings.
		{"a clock reading from before a pause", []step{
			{1, 1, "a", "", New}, {1, 1, "", "ran", 0}, {30, 2, "a", "", Forgotten}, {1, 1, "a", "", Forgotten},
		}},
		{"too many refusals close the lease", []step{
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

// keyModel is what a caller has been told of one key.
type keyModel struct {
	key     *Key
	started bool
	ended   bool
	// notRun says that some caller was told that it did not run.
	notRun  bool
	outcome reply
}

// machine drives a table with copies of requests in any order and at any time.
type machine struct {
	table *Table[reply]
	now   time.Duration
	keys  []*keyModel
	room  int
}

func (m *machine) step(t *rapid.T) {
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

func (m *machine) finish(t *rapid.T, k *keyModel) {
	ran := rapid.Bool().Draw(t, "ran")
	k.ended = true
	k.notRun = k.notRun || !ran
	k.outcome = reply(fmt.Sprint("outcome of ", k.key.Counter))
	m.table.Finish(m.now, "office", k.key, k.outcome, ran)
}

func (m *machine) begin(t *rapid.T, k *keyModel) {
	// Some copies carry a clock reading from before a pause.
	stale := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "stale")) * time.Millisecond
	d := m.table.Begin(max(0, m.now-stale), "office", k.key, Digest{}, m.room)
	switch d.Verdict {
	case New:
		if k.started || k.notRun {
			t.Fatalf("%d starts again: started %v, not run %v", k.key.Counter, k.started, k.notRun)
		}
		k.started = true
	case Known:
		if d.Outcome != k.outcome {
			t.Fatalf("outcome %q, want %q", d.Outcome, k.outcome)
		}
	case Running:
		if !k.started || k.ended {
			t.Fatalf("said to run: started %v, ended %v", k.started, k.ended)
		}
	case Full, Expired, Closed:
		if k.started && !k.notRun {
			t.Fatalf("%s says not run, it ran", d.Verdict)
		}
		k.notRun = true
		if d.Verdict == Full {
			k.outcome = "full"
			m.table.Refuse(m.now, "office", k.key, k.outcome)
		}
	}
}

func (m *machine) check(t *rapid.T) {
	operations, refused := m.table.Len("office")
	if operations > m.room || refused > m.table.opts.MaxRefused {
		t.Fatalf("%d operations and %d refusals are held", operations, refused)
	}
	if bytes := m.table.Bytes("office"); bytes < 0 || bytes > operations*len("outcome of 1") {
		t.Fatalf("%d bytes are held", bytes)
	}
}

// Symptom: a request runs twice, or runs after "not run" was said of it.
// Sequence: copies come in any order, before and after the end, the expiry, a
// refusal, a full table and a pause.
// Cause: any way in which the table forgets a key that it may still be asked for.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{table: newTable("vm-1", 1), room: 4}
		for range 120 {
			m.step(t)
			m.check(t)
		}
	})
}
