// Package membudget divides the memory and the file descriptors of a process between its parts.
//
// The parts of the memory leave room, on the smallest machines too, for the process itself, for
// growing buffers and for garbage that is not yet collected; docs/design/028 has the sum.
package membudget

// Parts of the memory.
const (
	// HeapShare is the part from which the heap is collected ever more often. A process that
	// exceeds its memory is killed; the rest is for the program itself and for what sockets hold
	// unread.
	HeapShare = 0.7
	// upstreamBodyShare is for response bodies of upstreams, controlBodyShare for those of the
	// store and as much for those of peers.
	upstreamBodyShare = 0.125
	controlBodyShare  = 0.0625
	// callerBodyShare is for the request bodies of all callers, otherBodyShare for those at all
	// other listeners.
	callerBodyShare = 0.125
	otherBodyShare  = 0.03125
	// callerConnShare, directoryConnShare and peerConnShare are for connections.
	callerConnShare    = 0.2
	directoryConnShare = 0.05
	peerConnShare      = 0.03
	// callerConnBytes is what a caller's connection takes without its body: the buffer of its head,
	// its handling, and what the kernel holds unread. smallConnBytes is that of connections to
	// the other listeners.
	callerConnBytes = 56 << 10
	smallConnBytes  = 24 << 10
)

// Parts of the file descriptors. Connections to upstreams use the rest, as each query is sent to
// several upstreams.
const (
	callerDescriptorShare    = 0.4
	directoryDescriptorShare = 0.08
	peerDescriptorShare      = 0.05
)

// ProbeConns is the number of connections of a listener for probes, metrics or operators.
const ProbeConns = 16

// defaultMemory is divided if the memory of the process is not known.
const defaultMemory = 256 << 20

// Budget is what a process may use. The zero value of a field means that it is not known.
type Budget struct {
	// Memory is in bytes.
	Memory      int64
	Descriptors int
}

// UpstreamBodies returns the bytes that response bodies of upstreams may take, 0 if the memory is not
// known.
func (b Budget) UpstreamBodies() int { return int(upstreamBodyShare * float64(b.Memory)) }

// ControlBodies returns the bytes that response bodies of the store may take, and likewise those of
// peers; 0 if the memory is not known.
func (b Budget) ControlBodies() int { return int(controlBodyShare * float64(b.Memory)) }

// CallerBodies returns the bytes that request bodies of callers may take.
func (b Budget) CallerBodies() int { return int(callerBodyShare * float64(b.memory())) }

// OtherBodies returns the bytes that request bodies at the other listeners may take.
func (b Budget) OtherBodies() int { return int(otherBodyShare * float64(b.memory())) }

// CallerConns returns how many connections callers may have open. Without this limit, a flood of
// connections would take all file descriptors, and no connection to an upstream could be opened.
func (b Budget) CallerConns() int {
	return b.conns(callerDescriptorShare, callerConnShare, callerConnBytes)
}

// DirectoryConns returns how many connections to the directory may be open.
func (b Budget) DirectoryConns() int {
	return b.conns(directoryDescriptorShare, directoryConnShare, smallConnBytes)
}

// PeerConns returns how many connections of peers may be open.
func (b Budget) PeerConns() int {
	return b.conns(peerDescriptorShare, peerConnShare, smallConnBytes)
}

func (b Budget) memory() int64 {
	if b.Memory > 0 {
		return b.Memory
	}
	return defaultMemory
}

// conns returns the number of connections that fit into a part of the descriptors and of the memory.
func (b Budget) conns(descriptors, memory float64, bytes int) int {
	n := int(memory*float64(b.memory())) / bytes
	if b.Descriptors > 0 {
		n = min(n, int(descriptors*float64(b.Descriptors)))
	}
	return max(ProbeConns, n)
}
