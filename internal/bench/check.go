package bench

import (
	"strconv"
	"strings"
	"time"

	"encoding/json"

	"sycamorekeel.example/sycamorekeel/internal/frontend"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

// check looks at every property that must hold whatever the faults.
func (r *run) check() {
	runs := r.executions()
	for i := range r.records {
		rec := &r.records[i]
		if a := rec.result.answer; a != nil {
			r.checkAnswer(rec, a)
		}
		r.checkRuns(rec, runs[rec.key])
		if strings.HasPrefix(rec.result.outcome, "untyped") {
			r.brokenf("%s: refused without a type: %s", rec.key, rec.result.outcome)
		}
	}
	for id, u := range r.fleet.Upstreams {
		if u.Peak() > int64(r.scenario.on.conns) {
			r.brokenf("%s had %d connections, its limit is %d", id, u.Peak(), r.scenario.on.conns)
		}
	}
	if r.scenario.check != nil {
		r.scenario.check(r)
	}
}

// executions counts, by key, what the upstreams ran.
func (r *run) executions() map[string]int {
	out := map[string]int{}
	for _, u := range r.fleet.Upstreams {
		for body, n := range u.Runs("") {
			var b struct {
				Key string `json:"key"`
			}
			_ = json.Unmarshal([]byte(body), &b)
			out[b.Key] += n
		}
	}
	return out
}

func (r *run) checkRuns(rec *record, runs int) {
	if rec.kind == payKind && runs > 1 {
		r.brokenf("%s is not idempotent and ran %d times", rec.key, runs)
	}
	said := rec.result.ran
	if rec.again != nil && rec.again.outcome != unreachable {
		said = rec.again.ran
	}
	if said == refusal.NotRun && runs > 0 {
		r.brokenf("%s was said not to have run (%s) and ran %d times", rec.key, rec.result.outcome, runs)
	}
}

// checkAnswer compares an answer with what its hits say of their origin.
func (r *run) checkAnswer(rec *record, a *frontend.Answer) {
	cov := a.Coverage
	if cov.ShardsAnswered+len(cov.Missing) != cov.ShardsTotal {
		r.brokenf("%s: %d answered and %d missing are not %d shards", rec.key, cov.ShardsAnswered, len(cov.Missing), cov.ShardsTotal)
	}
	missing := map[string]bool{}
	for _, m := range cov.Missing {
		missing[strconv.FormatUint(uint64(m.Shard), 10)] = true
	}
	pinned := strconv.FormatUint(uint64(a.Snapshot.Generation), 10) + "/" + strconv.FormatUint(a.Snapshot.Version, 10)
	shards := map[string]int{}
	for _, h := range a.Hits {
		var f standin.Fields
		if err := json.Unmarshal(h.Fields, &f); err != nil {
			r.brokenf("%s: fields: %v", rec.key, err)
			continue
		}
		shards[f.Shard]++
		switch {
		case f.Snapshot != pinned:
			r.brokenf("%s: a hit of snapshot %s in an answer of %s", rec.key, f.Snapshot, pinned)
		case f.Key != rec.key:
			r.brokenf("%s got a hit of %s", rec.key, f.Key)
		case missing[f.Shard]:
			r.brokenf("%s: shard %s is called missing and gave a hit", rec.key, f.Shard)
		}
	}
	r.checkWhole(rec, &cov, shards)
}

// checkWhole finds shards that are called answered and whose hits are not all
// there, or are there twice.
func (r *run) checkWhole(rec *record, cov *frontend.Coverage, shards map[string]int) {
	const hitsEach = 2
	if len(shards) != cov.ShardsAnswered {
		r.brokenf("%s: hits of %d shards, %d are called answered", rec.key, len(shards), cov.ShardsAnswered)
	}
	for shard, n := range shards {
		if n != hitsEach {
			r.brokenf("%s: %d hits of shard %s, it gave %d", rec.key, n, shard, hitsEach)
		}
	}
	if cov.Fraction < r.scenario.on.floor {
		r.brokenf("%s: answered with coverage %.3f, the contract's floor is %.3f", rec.key, cov.Fraction, r.scenario.on.floor)
	}
}

// watchRevisions finds a VM whose configuration goes back.
func (r *run) watchRevisions(end <-chan struct{}) {
	defer r.stopped.Done()
	const every = 20 * time.Millisecond
	highest := map[string]uint64{}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-end:
			return
		case <-tick.C:
		}
		for _, vm := range r.fleet.Running() {
			now := vm.Daemon.Snapshot().Revision
			id := vm.Settings.Vm + "/" + strconv.FormatUint(vm.Daemon.Status().Incarnation, 10)
			if now < highest[id] {
				r.brokenf("%s went back from revision %d to %d", id, highest[id], now)
			}
			highest[id] = max(now, highest[id])
		}
	}
}
