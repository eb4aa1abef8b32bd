package node

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
)

// Settings is what one VM's process is told.
type Settings struct {
	// VM is the VM's name, unique in the fleet.
	VM         string
	DataCentre string
	Region     string
	// Regions maps each data centre to its region.
	Regions map[string]string
	// FirstStart is set only when the whole system starts for the first time.
	FirstStart bool

	// Addresses are IP and port; an empty one is not served.

	// CallerAddress takes callers' requests.
	CallerAddress string
	// ReadyAddress tells the platform whether this VM is ready.
	ReadyAddress string
	// DirectoryAddress tells callers which VMs to use.
	DirectoryAddress string
	// PeerAddress takes the other VMs' datagrams (UDP) and pulls (TCP).
	PeerAddress string
	// PeerListen is where PeerAddress is listened on when a forwarder stands
	// before it; empty when it is PeerAddress itself.
	PeerListen string
	// MetricsAddress serves metrics.
	MetricsAddress string
	// Seeds are peer addresses of a few VMs, which may be down.
	Seeds []string
	// Store is the address of the platform's store.
	Store string

	// Cores is the part of a core that the process has.
	Cores float64
	// MemoryBytes is the most that the process may use.
	MemoryBytes int64
	// Descriptors is the most files and sockets that may be open.
	Descriptors int

	// ChangeBound is the time within which a published change must be in force.
	ChangeBound time.Duration
	// Grace is the time between the signal to stop and the end.
	Grace time.Duration
	// MaxTTL is the longest that callers may keep an answer of the directory.
	MaxTTL time.Duration
	// Budget bounds extra sends to a service over all VMs.
	Budget retrybudget.Limit
}

// peerListen is the address to listen on for peers.
func (s *Settings) peerListen() string {
	if s.PeerListen != "" {
		return s.PeerListen
	}
	return s.PeerAddress
}

// servesOn is how long a VM that is stopped takes new requests.
func (s *Settings) servesOn() time.Duration { return max(s.Grace-stopMargin, 0) }

// directoryTTL is how long callers may keep an answer of the directory: shorter
// than a VM that is stopped serves on, so that none who keeps to it meets a VM
// that has gone.
func (s *Settings) directoryTTL() time.Duration {
	return min(directoryTTL, s.MaxTTL, max(s.servesOn(), leastTTL))
}
