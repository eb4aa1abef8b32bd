package node

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/membudget"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
)

// Settings holds the settings of one VM's daemon.
type Settings struct {
	// VM is the VM's name, unique in the fleet.
	VM         string
	DataCentre string
	Region     string
	// Regions maps each data centre to its region.
	Regions map[string]string
	// FirstStart is set only if the whole system starts for the first time.
	FirstStart bool

	// Addresses have the form IP:port.

	// CallerAddress serves callers' requests.
	CallerAddress string
	// ReadyAddress serves the platform's readiness checks.
	ReadyAddress string
	// DirectoryAddress serves directory lookups: which VMs a caller should use.
	DirectoryAddress string
	// PeerAddress receives the other VMs' datagrams (UDP) and pulls (TCP).
	PeerAddress string
	// PeerListen is the address to listen on if a forwarder in front of this VM owns
	// PeerAddress; empty to listen on PeerAddress itself.
	PeerListen string
	// MetricsAddress serves metrics.
	MetricsAddress string
	// Seeds are the peer addresses of a few VMs, which may be down.
	Seeds []string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// MaxValueBytes is the size up to which the store takes values; 0 if it is not known.
	MaxValueBytes int

	// Cores is the number of cores available to the process and may be a fraction.
	Cores float64
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// Descriptors is the maximum number of open files and sockets.
	Descriptors int

	// ChangeBound is the time within which a published change must be in force.
	ChangeBound time.Duration
	// Grace is the time between the signal to stop and the end of the process.
	Grace time.Duration
	// MaxDirectoryTTL is the longest time for which callers may keep a directory answer.
	MaxDirectoryTTL time.Duration
	// RetryBudget limits the additional requests (retries and hedges) to a service over all
	// VMs.
	RetryBudget retrybudget.Limit
}

// peerListen returns the address to listen on for peers.
func (s *Settings) peerListen() string {
	if s.PeerListen != "" {
		return s.PeerListen
	}
	return s.PeerAddress
}

// drainPeriod is how long callers with a directory answer may open connections to a VM that is
// shutting down.
func (s *Settings) drainPeriod() time.Duration { return max(s.Grace-drainMargin, 0) }

// directoryTTL returns the TTL of directory answers. It does not exceed the drain
// period unless that is shorter than minDirectoryTTL, so that a caller that respects
// the TTL never connects to a VM that has stopped.
func (s *Settings) directoryTTL() time.Duration {
	return min(maxDirectoryTTL, s.MaxDirectoryTTL, max(s.drainPeriod(), minDirectoryTTL))
}

// Budget returns what the process may use.
func (s *Settings) Budget() membudget.Budget {
	return membudget.Budget{Memory: s.MemoryBytes, Descriptors: s.Descriptors, Value: s.MaxValueBytes}
}
