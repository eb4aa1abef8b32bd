package readiness

import (
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

var (
	start = time.Unix(1000, 0)
	v7    = SnapshotKey{Generation: 1, Version: 7}
	v8    = SnapshotKey{Generation: 1, Version: 8}
)

func snapshot(k SnapshotKey) *pb.Snapshot {
	return &pb.Snapshot{Generation: k.Generation, Version: k.Version}
}

func TestFitness(t *testing.T) {
	status := func(st pb.UpstreamState, keys ...SnapshotKey) func(*State, time.Time) {
		return func(s *State, now time.Time) {
			msg := &pb.UpstreamStatus{State: st}
			for _, k := range keys {
				msg.Snapshots = append(msg.Snapshots, snapshot(k))
			}
			s.ApplyStatus(now, msg)
		}
	}
	reply := func(asked SnapshotKey, r pb.Result, got SnapshotKey) func(*State, time.Time) {
		return func(s *State, now time.Time) {
			s.ApplyReply(now, asked, &pb.SubReply{Result: r, Snapshot: snapshot(got)})
		}
	}
	for _, c := range []struct {
		name   string
		events []func(*State, time.Time)
		after  time.Duration
		want   Fitness
	}{
		{name: "unknown", want: Ready},
		{name: "ready with the snapshot", events: []func(*State, time.Time){status(pb.UpstreamState_READY, v7, v8)}, want: Ready},
		{name: "ready without it", events: []func(*State, time.Time){status(pb.UpstreamState_READY, v7)}, want: Unfit},
		{name: "ready, no list", events: []func(*State, time.Time){status(pb.UpstreamState_READY)}, want: Ready},
		{name: "cold", events: []func(*State, time.Time){status(pb.UpstreamState_COLD, v8)}, want: Cold},
		{name: "draining", events: []func(*State, time.Time){status(pb.UpstreamState_DRAINING, v8)}, want: Unfit},
		{name: "draining, then answers", events: []func(*State, time.Time){status(pb.UpstreamState_DRAINING), reply(v8, pb.Result_OK, v8)}, want: Unfit},
		{name: "down", events: []func(*State, time.Time){status(pb.UpstreamState_DOWN)}, want: Down},
		{name: "down, then answers", events: []func(*State, time.Time){status(pb.UpstreamState_DOWN), reply(v8, pb.Result_OK, v8)}, want: Ready},
		{name: "a status expires", events: []func(*State, time.Time){status(pb.UpstreamState_DRAINING)}, after: statusTTL, want: Ready},
		{name: "refused for the snapshot", events: []func(*State, time.Time){reply(v8, pb.Result_NO_SNAPSHOT, SnapshotKey{})}, want: Unfit},
		{name: "refused for another snapshot", events: []func(*State, time.Time){reply(v7, pb.Result_NO_SNAPSHOT, SnapshotKey{})}, want: Ready},
		{name: "a refusal expires", events: []func(*State, time.Time){reply(v8, pb.Result_NO_SNAPSHOT, SnapshotKey{})}, after: snapshotTTL, want: Ready},
		{name: "a refusal overrides the lagging list", events: []func(*State, time.Time){reply(v8, pb.Result_NO_SNAPSHOT, SnapshotKey{}), status(pb.UpstreamState_READY, v8)}, want: Unfit},
		{name: "an answer overrides the lagging list", events: []func(*State, time.Time){status(pb.UpstreamState_READY, v7), reply(v8, pb.Result_OK, v8)}, want: Ready},
		{name: "answered from another one", events: []func(*State, time.Time){reply(v8, pb.Result_OK, v7)}, want: Unfit},
		{name: "announced that it is leaving", events: []func(*State, time.Time){reply(v8, pb.Result_UPSTREAM_LEAVING, SnapshotKey{})}, want: Unfit},
		{name: "unreachable", events: []func(*State, time.Time){reply(v8, pb.Result_UNREACHABLE, SnapshotKey{})}, want: Down},
		{name: "a lost connection does not end leaving", events: []func(*State, time.Time){reply(v8, pb.Result_UPSTREAM_LEAVING, SnapshotKey{}), reply(v8, pb.Result_UNREACHABLE, SnapshotKey{})}, after: time.Second, want: Unfit},
		{name: "a shed changes nothing", events: []func(*State, time.Time){reply(v8, pb.Result_SHED, SnapshotKey{})}, want: Ready},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s State
			for _, e := range c.events {
				e(&s, start)
			}
			if got := s.Fitness(start.Add(c.after), v8); got != c.want {
				t.Errorf("fitness %d, want %d", got, c.want)
			}
		})
	}
}

// An upstream that keeps refusing a new version is not asked for it again and
// again, whether the owner's list is minutes old or missing. If the information
// expired although replies confirm it, every query would restart repeatedly
// while a version takes minutes to spread.
func TestConfirmedInformationLasts(t *testing.T) {
	refusals := func(s *State, every, during time.Duration) int {
		n := 0
		for at := every; at <= during; at += every {
			now := start.Add(at)
			asked, r := v7, pb.Result_OK
			if s.Fitness(now, v8) == Ready {
				asked, r = v8, pb.Result_NO_SNAPSHOT
				n++
			}
			s.ApplyReply(now, asked, &pb.SubReply{Result: r, Snapshot: snapshot(asked)})
		}
		return n
	}
	var withList State
	withList.ApplyStatus(start, &pb.UpstreamStatus{State: pb.UpstreamState_READY, Snapshots: []*pb.Snapshot{snapshot(v7)}})
	if n := refusals(&withList, time.Second, 10*time.Minute); n != 0 {
		t.Errorf("an upstream whose list is confirmed was asked %d times for what it lacks", n)
	}
	var withoutList State
	if n := refusals(&withoutList, time.Second, 10*time.Minute); n > 35 {
		t.Errorf("an upstream without a list was asked %d times in ten minutes", n)
	}
}

func TestNewStatusOverridesOldRefusal(t *testing.T) {
	var s State
	s.ApplyReply(start, v8, &pb.SubReply{Result: pb.Result_NO_SNAPSHOT})
	later := start.Add(statusOverrideAge)
	s.ApplyStatus(later, &pb.UpstreamStatus{State: pb.UpstreamState_READY, Snapshots: []*pb.Snapshot{snapshot(v7), snapshot(v8)}})
	if f := s.Fitness(later, v8); f != Ready {
		t.Errorf("fitness %d after the owner said that the snapshot was loaded", f)
	}
}

func TestObservationsAreBounded(t *testing.T) {
	var s State
	for v := range uint64(100) {
		s.ApplyReply(start, SnapshotKey{Version: v}, &pb.SubReply{Result: pb.Result_NO_SNAPSHOT})
	}
	if len(s.observations) > maxObservations {
		t.Errorf("%d observations are kept", len(s.observations))
	}
}

// Queries stay on the previous snapshot until every shard has a replica that
// serves the newly published version 8 or map 2. Pinning the newest snapshot at
// once would lose the shards whose replicas have not loaded it.
func TestChoose(t *testing.T) {
	u := func(id string) *contract.Upstream { return &contract.Upstream{ID: id} }
	a, b, c := u("a"), u("b"), u("c")
	gone := &contract.Upstream{ID: "gone", Leaving: true}
	shard := func(id uint32, docs uint64, r ...*contract.Upstream) *contract.Shard {
		return &contract.Shard{ID: id, Documents: docs, Replicas: r}
	}
	one := &contract.ShardMap{Generation: 1, Versions: []uint64{7, 8}, Documents: 100,
		Shards: []*contract.Shard{shard(0, 60, a, b), shard(1, 40, b, c, gone)}}
	two := &contract.ShardMap{Generation: 2, Versions: []uint64{8}, Documents: 100,
		Shards: []*contract.Shard{shard(0, 100, c)}}
	g2 := SnapshotKey{Generation: 2, Version: 8}
	type lack struct {
		id  string
		key SnapshotKey
	}
	for _, tc := range []struct {
		name  string
		maps  []*contract.ShardMap
		lacks map[lack]Fitness
		want  SnapshotKey
		whole bool
		none  bool
	}{
		{name: "no information: the newest", maps: []*contract.ShardMap{one}, want: v8, whole: true},
		{name: "one replica is enough", maps: []*contract.ShardMap{one}, lacks: map[lack]Fitness{{"a", v8}: Unfit, {"c", v8}: Unfit}, want: v8, whole: true},
		{name: "a shard lacks the newest", maps: []*contract.ShardMap{one}, lacks: map[lack]Fitness{{"a", v8}: Unfit, {"b", v8}: Unfit}, want: v7, whole: true},
		{name: "the new map is not ready", maps: []*contract.ShardMap{one, two}, lacks: map[lack]Fitness{{"c", g2}: Unfit}, want: v8, whole: true},
		{name: "the new map is ready", maps: []*contract.ShardMap{one, two}, want: g2, whole: true},
		{name: "cold serves", maps: []*contract.ShardMap{two}, lacks: map[lack]Fitness{{"c", g2}: Cold}, want: g2, whole: true},
		{name: "every snapshot lacks a shard: the highest coverage", maps: []*contract.ShardMap{one},
			lacks: map[lack]Fitness{{"a", v8}: Unfit, {"b", v8}: Unfit, {"b", v7}: Unfit, {"c", v7}: Unfit}, want: v7},
		{name: "everything down: the newest is tried", maps: []*contract.ShardMap{two}, lacks: map[lack]Fitness{{"c", g2}: Down}, want: g2, whole: true},
		{name: "no replica serves", maps: []*contract.ShardMap{two}, lacks: map[lack]Fitness{{"c", g2}: Unfit}, none: true},
		{name: "no map", none: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			choice, ok := Choose(&contract.Service{Maps: tc.maps}, func(u *contract.Upstream, k SnapshotKey) Fitness {
				if f, ok := tc.lacks[lack{u.ID, k}]; ok {
					return f
				}
				return Ready
			})
			if ok == tc.none {
				t.Fatalf("ok is %v", ok)
			}
			if ok && (SnapshotKeyOf(choice.Snapshot) != tc.want || choice.Complete != tc.whole) {
				t.Errorf("pinned %v, whole %v; want %v, %v", choice.Snapshot, choice.Complete, tc.want, tc.whole)
			}
		})
	}
}
