package query

import "sycamorekeel.example/sycamorekeel/internal/pb"

// FoundNoRoom tells whether the shard was refused at least once because an owner
// or an upstream was full.
func (s *ShardOutcome) FoundNoRoom() bool {
	for i := range s.Attempts {
		switch s.Attempts[i].Result {
		case label(pb.Result_SHED), label(pb.Result_QUEUE_FULL), label(pb.Result_TOO_LATE):
			return true
		}
	}
	return false
}
