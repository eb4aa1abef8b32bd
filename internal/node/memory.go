package node

// The parts of the process's memory. Together they leave room for the process itself, for growing
// buffers and for garbage that is not yet collected, on the smallest machines too; see
// docs/design/028.
const (
	// upstreamBodyShare is the part that response bodies of upstreams may take, controlBodyShare that
	// of those of the store, and likewise those of peers.
	upstreamBodyShare = 0.125
	controlBodyShare  = 0.0625
	// callerBodyShare is the part that the request bodies of all callers may take, and
	// otherBodyShare that of the bodies of requests at all other listeners.
	callerBodyShare = 0.125
	otherBodyShare  = 0.03125
	// callerConnShare is the part that callers' connections may take, directoryConnShare and
	// peerConnShare those of these listeners.
	callerConnShare    = 0.2
	directoryConnShare = 0.05
	peerConnShare      = 0.03
	// callerConnBytes is what a caller's connection takes without its body: the buffer of its
	// head, its handling, and what the kernel holds unread. smallConnBytes is that of
	// the other listeners.
	callerConnBytes = 56 << 10
	smallConnBytes  = 24 << 10
)

// The parts of the process's file descriptors. Connections to upstreams use the rest, as each query
// is sent to several upstreams.
const (
	callerDescriptorShare    = 0.4
	directoryDescriptorShare = 0.08
	peerDescriptorShare      = 0.05
	// probeConns is the number of connections of the listeners for readiness checks and for metrics.
	probeConns = 16
)

// memoryPart returns a part of the process's memory in bytes, 0 if its memory is not known.
func (s *Settings) memoryPart(share float64) int { return int(share * float64(s.MemoryBytes)) }

// UpstreamBodyMemory returns the bytes that response bodies of upstreams may take, 0 for no limit of
// its own.
func (s *Settings) UpstreamBodyMemory() int { return s.memoryPart(upstreamBodyShare) }

// ControlBodyMemory returns the bytes that response bodies of the store may take, and likewise those
// of peers; 0 for no limit of its own.
func (s *Settings) ControlBodyMemory() int { return s.memoryPart(controlBodyShare) }

// callerBodyMemory returns the bytes that request bodies of callers may take.
func (s *Settings) callerBodyMemory() int { return s.bodyMemory(callerBodyShare) }

// otherBodyMemory returns the bytes that request bodies at the other listeners may take.
func (s *Settings) otherBodyMemory() int { return s.bodyMemory(otherBodyShare) }

func (s *Settings) bodyMemory(share float64) int {
	if part := s.memoryPart(share); part > 0 {
		return part
	}
	return defaultBodyMemory
}

// maxCallerConns returns how many connections callers may have open. Without this limit, a flood of
// connections would take all file descriptors, and no connection to an upstream could be opened.
func (s *Settings) maxCallerConns() int {
	return s.connLimit(callerDescriptorShare, callerConnShare, callerConnBytes)
}

// maxDirectoryConns returns how many connections to the directory may be open.
func (s *Settings) maxDirectoryConns() int {
	return s.connLimit(directoryDescriptorShare, directoryConnShare, smallConnBytes)
}

// maxPeerConns returns how many connections of peers may be open.
func (s *Settings) maxPeerConns() int {
	return s.connLimit(peerDescriptorShare, peerConnShare, smallConnBytes)
}

// connLimit returns the number of connections that fit into a part of the descriptors and of the
// memory.
func (s *Settings) connLimit(descriptors, memory float64, bytes int) int {
	n := int(descriptors * float64(s.Descriptors))
	if part := s.memoryPart(memory); part > 0 {
		n = min(n, part/bytes)
	}
	return max(probeConns, n)
}
