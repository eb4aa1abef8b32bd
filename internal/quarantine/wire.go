package quarantine

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/fingerprint"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

const (
	// MaxTold is how many entries fit into one datagram beside its sender.
	MaxTold = 10
	// maxEpoch and maxCount bound what a peer may claim: no VM counts as far.
	maxEpoch = 1 << 31
	maxCount = 1 << 16
	// maxAge is the greatest age taken in: what is older is forgotten.
	maxAge = blockMost + suspectFor
)

// Encode is entries as they are sent.
func Encode(entries []Entry) []*pb.QuarantineEntry {
	var out []*pb.QuarantineEntry
	for _, e := range entries {
		out = append(out, &pb.QuarantineEntry{
			Content: e.Content[:], Epoch: e.Epoch, Rounds: e.Rounds, Blocks: e.Blocks,
			Ended: e.Ended, AgeMs: uint64(e.Age.Milliseconds()), Trial: e.Trial,
		})
	}
	return out
}

// Decode is entries as they were received, and how many of them make no sense.
func Decode(entries []*pb.QuarantineEntry) (good []Entry, dropped int) {
	for _, m := range entries {
		if !wellFormed(m) {
			dropped++
			continue
		}
		good = append(good, Entry{
			Content: fingerprint.Fingerprint(m.Content), Epoch: m.Epoch, Rounds: m.Rounds, Blocks: m.Blocks,
			Ended: m.Ended, Age: time.Duration(m.AgeMs) * time.Millisecond, Trial: m.Trial,
		})
	}
	return good, dropped
}

func wellFormed(m *pb.QuarantineEntry) bool {
	return m != nil && len(m.Content) == len(fingerprint.Fingerprint{}) && len(m.Ended) <= MaxEnded &&
		m.Epoch > 0 && m.Epoch < maxEpoch && m.Rounds < maxCount && m.Blocks < maxCount &&
		m.AgeMs <= uint64(maxAge.Milliseconds())
}
