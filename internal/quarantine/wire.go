package quarantine

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/fingerprint"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

const (
	// MaxDatagramEntries is how many entries fit into one datagram besides its sender.
	MaxDatagramEntries = 10
	// maxEpoch and maxCount limit the values accepted from a peer. No VM counts that far.
	maxEpoch = 1 << 31
	maxCount = 1 << 16
	// maxAge is the maximum accepted age. VMs keep no record longer.
	maxAge = maxBlock + suspectRetention
)

// Encode returns the wire form of entries.
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

// Decode returns the valid entries of a received message and the number of invalid ones.
func Decode(entries []*pb.QuarantineEntry) (good []Entry, dropped int) {
	for _, m := range entries {
		if !valid(m) {
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

func valid(m *pb.QuarantineEntry) bool {
	return m != nil && len(m.Content) == len(fingerprint.Fingerprint{}) && len(m.Ended) <= MaxInstances &&
		m.Epoch > 0 && m.Epoch < maxEpoch && m.Rounds < maxCount && m.Blocks < maxCount &&
		m.AgeMs <= uint64(maxAge.Milliseconds())
}
