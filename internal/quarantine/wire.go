package quarantine

import (
	"slices"
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
			Ended: e.Ended, EndedAgeUs: encodeAges(e.EndedAges), AgeMs: uint64(e.Age.Milliseconds()), Trial: e.Trial,
		})
	}
	return out
}

func encodeAges(ages []time.Duration) []uint64 {
	var out []uint64
	for _, age := range ages {
		out = append(out, uint64(age.Microseconds()))
	}
	return out
}

func decodeAges(ages []uint64) []time.Duration {
	var out []time.Duration
	for _, age := range ages {
		out = append(out, time.Duration(age)*time.Microsecond)
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
			Ended: m.Ended, EndedAges: decodeAges(m.EndedAgeUs), Age: time.Duration(m.AgeMs) * time.Millisecond, Trial: m.Trial,
		})
	}
	return good, dropped
}

func valid(m *pb.QuarantineEntry) bool {
	return m != nil && len(m.Content) == len(fingerprint.Fingerprint{}) && len(m.Ended) <= MaxInstances &&
		m.Epoch > 0 && m.Epoch < maxEpoch && m.Rounds < maxCount && m.Blocks < maxCount &&
		m.AgeMs <= uint64(maxAge.Milliseconds()) && validAges(m)
}

func validAges(m *pb.QuarantineEntry) bool {
	if len(m.EndedAgeUs) != 0 && len(m.EndedAgeUs) != len(m.Ended) {
		return false
	}
	return !slices.ContainsFunc(m.EndedAgeUs, func(age uint64) bool { return age > uint64(maxAge.Microseconds()) })
}
