package query

import "sycamorekeel.example/sycamorekeel/internal/pb"

// RefusedForCapacity reports whether an owner or upstream refused the shard at least once for
// lack of capacity: it shed the sub-request, its queue was full, or it could not start
// it in time.
func (s *ShardOutcome) RefusedForCapacity() bool {
	for i := range s.Attempts {
		switch s.Attempts[i].Result {
		case resultLabel(pb.Result_SHED), resultLabel(pb.Result_QUEUE_FULL), resultLabel(pb.Result_TOO_LATE):
			return true
		}
	}
	return false
}
