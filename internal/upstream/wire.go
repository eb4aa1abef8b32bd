package upstream

import (
	"fmt"
	"strconv"
	"strings"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Headers of the upstream interface; docs/INTERFACES.md describes them.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderSnapshot  = "X-Snapshot"
	HeaderShard     = "X-Shard"
	// HeaderDeadline holds the remaining time of the request in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderNotRun is set on the reply to a request that the upstream did not run. Its
	// value is the reason.
	HeaderNotRun = "X-Not-Run"
	// HeaderDraining is set on all replies of an upstream that is leaving.
	HeaderDraining = "X-Draining"
)

// Values of HeaderNotRun.
const (
	NotRunShed     = "shed"
	NotRunDraining = "draining"
	NotRunSnapshot = "snapshot"
	NotRunDeadline = "deadline"
	NotRunCancel   = "cancelled"
)

// Paths of the upstream interface, in addition to the paths of the service.
const (
	HealthPath = "/health"
	CancelPath = "/cancel"
)

// Values of Health.State.
const (
	StateReady    = "ready"
	StateCold     = "cold"
	StateDraining = "draining"
)

// Health is the JSON reply of HealthPath. It may be out of date.
type Health struct {
	// State is StateReady, StateCold or StateDraining.
	State string `json:"state"`
	// Load is the fraction of slots in use, from 0 to 1.
	Load float64 `json:"load"`
	// Snapshots lists the snapshots that the upstream can serve, each as
	// "generation/version".
	Snapshots []string `json:"snapshots"`
}

// Report returns the state and snapshots of h as protocol messages. An unknown
// state counts as ready, and malformed snapshots are skipped.
func (h *Health) Report() (pb.UpstreamState, []*pb.Snapshot) {
	state := pb.UpstreamState_READY
	switch h.State {
	case StateCold:
		state = pb.UpstreamState_COLD
	case StateDraining:
		state = pb.UpstreamState_DRAINING
	}
	var snapshots []*pb.Snapshot
	for _, text := range h.Snapshots {
		if s, err := ParseSnapshot(text); err == nil {
			snapshots = append(snapshots, s)
		}
	}
	return state, snapshots
}

// FormatSnapshot formats a snapshot as "generation/version".
func FormatSnapshot(s *pb.Snapshot) string {
	return string(appendSnapshot(nil, s))
}

// appendSnapshot appends s to b in the format of FormatSnapshot.
func appendSnapshot(b []byte, s *pb.Snapshot) []byte {
	b = strconv.AppendUint(b, uint64(s.GetGeneration()), 10)
	b = append(b, '/')
	return strconv.AppendUint(b, s.GetVersion(), 10)
}

// ParseSnapshot parses a snapshot in the format "generation/version".
func ParseSnapshot(text string) (*pb.Snapshot, error) {
	g, v, ok := strings.Cut(text, "/")
	if !ok {
		return nil, fmt.Errorf("snapshot %q: want generation/version", text)
	}
	generation, err := strconv.ParseUint(g, 10, 32)
	if err != nil {
		return nil, fmt.Errorf("snapshot generation: %w", err)
	}
	version, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("snapshot version: %w", err)
	}
	return &pb.Snapshot{Generation: uint32(generation), Version: version}, nil
}
