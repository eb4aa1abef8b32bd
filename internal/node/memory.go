package node

// The parts of the process's memory. Together they leave room for the process itself, for growing
// buffers and for garbage that is not yet collected, on the smallest machines too; see
// docs/design/028.
const (
	// upstreamBodyShare is the part that response bodies of upstreams may take, controlBodyShare that
	// of those of the store, and likewise those of peers.
	upstreamBodyShare = 0.125
	controlBodyShare  = 0.0625
	// callerBodyShare is the part that the request bodies of all callers may take.
	callerBodyShare = 0.125
	// callerConnShare is the part that callers' connections may take.
	callerConnShare = 0.2
	// callerConnBytes is what a caller's connection takes without its body: the buffer of its
	// head, its handling, and what the kernel holds unread.
	callerConnBytes = 56 << 10
)

// The parts of the process's file descriptors. Connections to upstreams use the rest, as each query
// is sent to several upstreams.
const (
	callerDescriptorShare = 0.4
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

// connLimit returns the number of connections that fit into a part of the descriptors and of the
// memory.
func (s *Settings) connLimit(descriptors, memory float64, bytes int) int {
	n := int(descriptors * float64(s.Descriptors))
	if part := s.memoryPart(memory); part > 0 {
		n = min(n, part/bytes)
	}
	return max(1, n)
}
