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
	// HeaderDeadline is the remaining time in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderNotRun is set by an upstream that refused without running.
	HeaderNotRun = "X-Not-Run"
	// HeaderDraining is set on any reply of an upstream that is leaving.
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

// Paths of the upstream interface besides the service's own.
const (
	HealthPath = "/health"
	CancelPath = "/cancel"
)

// States of the health endpoint.
const (
	StateReady    = "ready"
	StateCold     = "cold"
	StateDraining = "draining"
)

// Health is the JSON answer of HealthPath. It may lag.
type Health struct {
	// State is ready, cold or draining.
	State string `json:"state"`
	// Load is the share of slots in use, 0 to 1.
	Load float64 `json:"load"`
	// Snapshots it can serve, as "generation/version".
	Snapshots []string `json:"snapshots"`
}

// Report is the health answer in the terms of the fleet; a state it does not
// know counts as ready, and a snapshot it cannot read is left out.
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

// FormatSnapshot writes a snapshot as "generation/version".
func FormatSnapshot(s *pb.Snapshot) string {
	return string(appendSnapshot(nil, s))
}

func appendSnapshot(b []byte, s *pb.Snapshot) []byte {
	b = strconv.AppendUint(b, uint64(s.GetGeneration()), 10)
	b = append(b, '/')
	return strconv.AppendUint(b, s.GetVersion(), 10)
}

// ParseSnapshot reads "generation/version".
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
