package bench

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamorekeel.example/sycamorekeel/internal/frontend"
	"sycamorekeel.example/sycamorekeel/internal/query"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

// The whole table of pairs is run by "make bench"; these three stand for it.
func TestPropertiesHoldUnderTwoFaultsAtOnce(t *testing.T) {
	g := NewWithT(t)
	table := map[string]fault{}
	for _, f := range faults() {
		table[f.name] = f
	}
	list := []scenario{
		pair(table["straggler"], table["VM killed"], 2*time.Second),
		pair(table["replica lost"], table["version change"], 2*time.Second),
		pair(table["one way cut"], table["platform stale"], 2*time.Second),
	}
	out, err := runPairs(list, Options{Seed: DefaultSeed, Progress: io.Discard})
	g.Expect(err).NotTo(HaveOccurred())
	for _, p := range out {
		g.Expect(p.Result.Broken).To(BeEmpty(), p.Name)
		all, ok := p.Result.group("all")
		g.Expect(ok).To(BeTrue())
		g.Expect(all.Answered).To(BeNumerically(">", 0), p.Name)
	}
}

// whole is an answer of two shards with nothing wrong.
func whole() *frontend.Answer {
	a := &frontend.Answer{
		Snapshot: frontend.Snapshot{Generation: 1, Version: 7},
		Coverage: frontend.Coverage{Fraction: 1, ShardsAnswered: 2, ShardsTotal: 2},
	}
	for _, shard := range []string{"0", "1"} {
		for range 2 {
			a.Hits = append(a.Hits, query.Hit{Fields: fields(standin.Fields{Shard: shard, Snapshot: "1/7", Key: "k"})})
		}
	}
	return a
}

func fields(f standin.Fields) json.RawMessage {
	body, _ := json.Marshal(f)
	return body
}

func TestChecksFindEachBrokenProperty(t *testing.T) {
	hit := func(f standin.Fields) func(*record, *frontend.Answer) {
		return func(_ *record, a *frontend.Answer) { a.Hits[0].Fields = fields(f) }
	}
	said := func(kind string, ran refusal.Ran) func(*record, *frontend.Answer) {
		return func(rec *record, _ *frontend.Answer) { rec.kind, rec.result.ran = kind, ran }
	}
	cases := []struct {
		name  string
		spoil func(*record, *frontend.Answer)
		runs  int
		whole bool
	}{
		{name: "nothing", spoil: func(*record, *frontend.Answer) {}, runs: 2, whole: true},
		{name: "mixed snapshots", spoil: hit(standin.Fields{Shard: "0", Snapshot: "1/6", Key: "k"})},
		{name: "another's hit", spoil: hit(standin.Fields{Shard: "0", Snapshot: "1/7", Key: "j"})},
		{name: "a hit too few", spoil: func(_ *record, a *frontend.Answer) { a.Hits = a.Hits[1:] }},
		{name: "a hit twice", spoil: func(_ *record, a *frontend.Answer) { a.Hits = append(a.Hits, a.Hits[0]) }},
		{name: "a shard unnamed", spoil: func(_ *record, a *frontend.Answer) { a.Coverage.ShardsTotal = 3 }},
		{name: "a missing shard that answered", spoil: func(_ *record, a *frontend.Answer) {
			a.Coverage.ShardsAnswered = 1
			a.Coverage.Missing = []frontend.MissingShard{{Shard: 1}}
		}},
		{name: "below the floor", spoil: func(_ *record, a *frontend.Answer) { a.Coverage.Fraction = 0.5 }},
		{name: "a payment twice", spoil: said(payKind, refusal.DidRun), runs: 2},
		{name: "not run that ran", spoil: said(scanKind, refusal.NotRun), runs: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := base("check", "")
			r := &run{scenario: &s}
			a := whole()
			rec := &record{key: "k", kind: scanKind, result: result{outcome: answered, ran: refusal.DidRun, answer: a}}
			c.spoil(rec, a)
			r.checkAnswer(rec, a)
			r.checkRuns(rec, c.runs)
			g.Expect(len(r.broken) == 0).To(Equal(c.whole), "%v", r.broken)
		})
	}
}
