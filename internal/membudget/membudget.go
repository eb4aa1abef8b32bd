// Package membudget divides the memory and the file descriptors of a process between its parts.
//
// The parts of the memory leave room, on the smallest machines too, for the process itself, for
// growing buffers and for garbage that is not yet collected; docs/design/028 has the sum.
package membudget

import "cmp"

// Parts of the memory.
const (
	// HeapShare is the part from which the heap is collected ever more often. A process that
	// exceeds its memory is killed; the rest is for the program itself and for what sockets hold
	// unread.
	HeapShare = 0.7
	// upstreamBodyShare is for response bodies of upstreams.
	upstreamBodyShare = 0.065
	// pageShare is for one page of published items that VMs exchange.
	pageShare = 0.0195
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

const (
	// defaultValueBytes is the size in bytes up to which the store takes values unless the settings
	// tell another.
	defaultValueBytes = 1 << 20
	// storeReadValues is what the reading of the store's responses takes beside what is kept of them,
	// in values of the largest size: the text of an item, which grows, and its value; the versions of
	// the configuration; and a configuration that is read alone at the same time.
	storeReadValues = 7
	// minWindow and maxWindow limit the window in bytes with which pages are packed, and packerBytes
	// is what packing takes beside it.
	minWindow   = 1 << 20
	maxWindow   = 8 << 20
	packerBytes = 1 << 20
)

// defaultMemory is divided if the memory of the process is not known.
const defaultMemory = 256 << 20

// Budget is what a process may use. The zero value of a field means that it is not known.
type Budget struct {
	// Memory is in bytes.
	Memory      int64
	Descriptors int
	// Value is the size in bytes up to which the store takes values.
	Value int
}

// UpstreamBodies returns the bytes that response bodies of upstreams may take, 0 if the memory is not
// known.
func (b Budget) UpstreamBodies() int { return int(upstreamBodyShare * float64(b.Memory)) }

// Page returns the largest size in bytes of a page of published items that VMs exchange, before it is
// packed.
func (b Budget) Page() int {
	return max(int(pageShare*float64(b.memory())), b.ValueBytes()+b.ValueBytes()/2)
}

// ValueBytes returns the size in bytes up to which the store takes values.
func (b Budget) ValueBytes() int { return cmp.Or(b.Value, defaultValueBytes) }

// Content returns the bytes that the published registrations may take which are held. A page has room
// for them, for a configuration of the largest size and for deletions.
func (b Budget) Content() int {
	reserve := b.ValueBytes() + b.ValueBytes()/4
	return max(b.Page()/2, b.Page()-reserve)
}

// Listing returns the bytes that may be kept of a response of the store.
func (b Budget) Listing() int { return b.Content() + b.Content()/4 }

// PageWindow returns the largest window in bytes with which pages are packed.
func (b Budget) PageWindow() int {
	window := minWindow
	for window < maxWindow && 2*window <= b.Page() {
		window *= 2
	}
	return window
}

// PackedPage returns the largest size in bytes of a page as it travels. Published items are text, which
// packs well.
func (b Budget) PackedPage() int { return 2 * b.Page() / 3 }

// HeldPages returns the bytes of packed pages that may be held for peers, cached or being sent.
func (b Budget) HeldPages() int { return b.Page() }

// published returns the bytes that everything about the published items takes at most.
func (b Budget) published() int {
	// Earlier versions that are still in force, and the texts of former configurations, take as much
	// as the content each.
	held := 3 * b.Content()
	read := storeReadValues*b.ValueBytes() + b.Listing()
	// The buffer of a page that is received grows.
	received := b.PackedPage() + b.PackedPage()/2
	// One page at a time is packed or unpacked.
	packed := 2*b.Page() + b.PageWindow() + packerBytes
	return held + read + received + packed + b.HeldPages()
}

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
