package config_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"sycamorekeel.example/sycamorekeel/internal/config"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Symptom: a VM serves an older contract after its source restarted.
// Sequence: pages of any source arrive in any order, repeated and stale.
// Cause: taking a page over as a whole instead of by each document's revision.
func TestMergeNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := config.New()
		highest := uint64(0)
		for _, rev := range rapid.SliceOfN(rapid.Uint64Range(1, 20), 1, 30).Draw(t, "revisions") {
			s.Merge(config.Page{Revision: rev, Documents: []*pb.PublishedDocument{document(rev)}})
			highest = max(highest, rev)
			got := s.Snapshot().VMs()[0].Id
			if want := fmt.Sprintf("vm-%d", highest); got != want || s.Revision() != highest {
				t.Fatalf("in force: %s at %d, want %s", got, s.Revision(), want)
			}
		}
	})
}

func document(rev uint64) *pb.PublishedDocument {
	body := fmt.Sprintf("[[vms]]\nid = \"vm-%d\"\nregion = \"r\"\ndata_centre = \"d\"\ncaller_address = \"127.0.0.1:1\"\npeer_address = \"127.0.0.1:2\"\nstate = \"live\"\n", rev)
	return &pb.PublishedDocument{Name: "vms", Revision: rev, Body: []byte(body)}
}
