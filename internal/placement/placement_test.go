package placement

import (
	"slices"
	"strings"
	"testing"

	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/routing"
)

// vm makes a member of region and data centre "r/dc".
func vm(name, place string, capacity uint32, state pb.MemberState) membership.Member {
	region, dc, _ := strings.Cut(place, "/")
	return membership.Member{VM: name, Region: region, DataCentre: dc, CallerAddress: name, Capacity: capacity, State: state}
}

const (
	alive   = pb.MemberState_ALIVE
	suspect = pb.MemberState_SUSPECT
	leaving = pb.MemberState_LEAVING
	dead    = pb.MemberState_DEAD
)

var bounds = Bounds{Most: 64, Least: 2, Work: 800, Upstreams: map[string]int{"b": 9}}

func TestChoose(t *testing.T) {
	for _, c := range []struct {
		name    string
		members []membership.Member
		want    string
	}{
		{"none", nil, ""},
		{"own region first", []membership.Member{vm("far", "s/x", 800, alive), vm("near", "r/a", 100, alive)}, "near"},
		{"strong ones first, as many as the work takes",
			[]membership.Member{vm("weak", "r/a", 100, alive), vm("s1", "r/a", 800, alive), vm("s2", "r/a", 800, alive), vm("s3", "r/a", 700, alive)}, "s1 s2"},
		{"more of weak ones",
			[]membership.Member{vm("w1", "r/a", 300, alive), vm("w2", "r/a", 300, alive), vm("w3", "r/a", 300, alive), vm("w4", "r/a", 300, alive)}, "w1 w2 w3"},
		{"beside the upstreams", []membership.Member{vm("strong", "r/a", 800, alive), vm("beside", "r/b", 400, alive), vm("too", "r/b", 400, alive)}, "beside too"},
		{"not the leaving, the dead, the unready",
			[]membership.Member{vm("l", "r/a", 800, leaving), vm("d", "r/a", 800, dead), vm("u", "r/a", 0, alive), vm("ok", "r/a", 100, alive)}, "ok"},
		{"suspects only when there are no others", []membership.Member{vm("s", "r/a", 800, suspect), vm("ok", "s/x", 100, alive)}, "ok"},
		{"the strained only when there are no others", []membership.Member{vm("st", "r/a", StrainedCapacity, alive), vm("far", "s/x", 100, alive)}, "far"},
		{"the strained rather than none", []membership.Member{vm("st", "r/a", StrainedCapacity, alive)}, "st"},
		{"suspects rather than none", []membership.Member{vm("s", "r/a", 800, suspect), vm("d", "r/a", 800, dead)}, "s"},
	} {
		got := Choose(c.members, Caller{Region: "r"}, bounds)
		slices.Sort(got)
		if strings.Join(got, " ") != c.want {
			t.Errorf("%s: %v, want %s", c.name, got, c.want)
		}
	}
}

// Guards against callers that are sent to VMs outside of the homes of their requests.
func TestCallersAreSentToTheirRegionOrToAHome(t *testing.T) {
	own, home, other := vm("own", "r/a", 100, alive), vm("home", "h/a", 100, alive), vm("other", "o/a", 900, alive)
	strained := vm("strained", "r/a", StrainedCapacity, alive)
	suspected := vm("suspected", "h/a", 100, suspect)
	for _, c := range []struct {
		name    string
		members []membership.Member
		want    string
	}{
		{"own region first", []membership.Member{own, home, other}, "own"},
		{"else a home", []membership.Member{home, other}, "home"},
		{"a home before strained ones", []membership.Member{strained, home, other}, "home"},
		{"strained ones before those outside", []membership.Member{strained, other}, "strained"},
		{"suspects at home before those outside", []membership.Member{suspected, other}, "suspected"},
		{"none outside", []membership.Member{other}, ""},
	} {
		got := Choose(c.members, Caller{Region: "r", Homes: routing.HomesIn("h")}, bounds)
		if strings.Join(got, " ") != c.want {
			t.Errorf("%s: %v, want %s", c.name, got, c.want)
		}
	}
}

// Symptom: the callers of a region change their VMs whenever an upstream crashes.
// Sequence: two data centres have about as many upstreams; one loses one.
// Cause: VMs were ordered by the plain numbers.
func TestOneUpstreamMoreOrLessMovesNoCaller(t *testing.T) {
	members := []membership.Member{
		vm("a1", "r/a", 800, alive), vm("a2", "r/a", 800, alive), vm("b1", "r/b", 800, alive), vm("b2", "r/b", 800, alive),
	}
	b := bounds
	b.Upstreams = map[string]int{"a": 18, "b": 18}
	before := Choose(members, Caller{Region: "r"}, b)
	for _, counts := range []map[string]int{{"a": 18, "b": 17}, {"a": 17, "b": 18}, {"a": 10, "b": 18}} {
		b.Upstreams = counts
		if got := Choose(members, Caller{Region: "r"}, b); !slices.Equal(got, before) {
			t.Errorf("%v: %v, before %v", counts, got, before)
		}
	}
}

// Callers of one region are all told the same VMs, so that they share them.
func TestCarriersAreWhatCallersAreTold(t *testing.T) {
	members := []membership.Member{
		vm("r1", "r/a", 400, alive), vm("r2", "r/a", 400, alive), vm("r3", "r/a", 400, alive),
		vm("s1", "s/x", 900, alive), vm("s2", "s/x", 900, alive), vm("s3", "s/x", 900, alive),
	}
	carriers := Carriers(members, bounds)
	if len(carriers) != 4 {
		t.Fatalf("%v carry", carriers)
	}
	for _, region := range []string{"r", "s"} {
		for _, a := range Choose(members, Caller{Region: region}, bounds) {
			if !carriers[a] {
				t.Errorf("%s is told to callers and not counted", a)
			}
		}
	}
}

// Symptom: after the loss of a data centre, or of a quarter of the VMs, the callers of a
// region find no connection for seconds: 190 requests of 6,147 on a day with such a loss.
// Sequence: both VMs that they were told to use are lost; they keep the answer for its term.
// Cause: an answer named two VMs, and both of one data centre.
func TestAnAnswerOutlivesADataCentre(t *testing.T) {
	var members []membership.Member
	for _, name := range []string{"a1", "a2", "a3", "b1", "b2", "b3"} {
		members = append(members, vm(name, "r/"+name[:1], 800, alive))
	}
	b := Bounds{Most: 64, Least: 3, Work: 1000}
	for _, upstreams := range []map[string]int{{"a": 18, "b": 18}, {"a": 18, "b": 12}} {
		b.Upstreams = upstreams
		for _, region := range []string{"r", "s", "t"} {
			got := Choose(members, Caller{Region: region}, b)
			places := map[byte]bool{}
			for _, address := range got {
				places[address[0]] = true
			}
			if len(got) != 3 || len(places) != 2 {
				t.Errorf("callers of %s are told %v", region, got)
			}
		}
	}
	b.Upstreams = map[string]int{"a": 18}
	for _, address := range Choose(members, Caller{Region: "r"}, b) {
		if address[0] != 'a' {
			t.Errorf("%s is told though no upstream is beside it", address)
		}
	}
}
