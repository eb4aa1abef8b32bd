package explain

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/query"
)

// Symptom: the command line cannot read what a daemon explains.
// Sequence: a record is written as JSON and read again.
// Cause: a field that is written in one form and read in another.
func TestRecordIsReadAsWritten(t *testing.T) {
	want := Record{
		RequestID: "r",
		Started:   time.Unix(1000, 0).UTC(),
		Restarts: []query.RestartRecord{{
			At: time.Second, From: &pb.Snapshot{Generation: 1, Version: 7}, To: &pb.Snapshot{Generation: 2, Version: 1}, Shard: 3, Discarded: 4,
		}},
		Shards: []Shard{{ID: 1, Missing: "failed"}},
	}
	for c := query.First; c <= query.Restart; c++ {
		want.Shards[0].Attempts = append(want.Shards[0].Attempts, query.AttemptRecord{Upstream: "u", Cause: c, Why: "after shed", Standby: true})
	}
	data, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got Record
	if err := json.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, written %+v", got, want)
	}
}

func TestRingForgetsTheOldest(t *testing.T) {
	r := NewRing(2)
	for _, id := range []string{"a", "b", "c"} {
		r.Add(&Record{RequestID: id})
	}
	if _, ok := r.Find("a"); ok {
		t.Error("the oldest record is still there")
	}
	for _, id := range []string{"b", "c"} {
		if _, ok := r.Find(id); !ok {
			t.Errorf("record %s is gone", id)
		}
	}
}
