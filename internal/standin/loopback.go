package standin

import (
	"crypto/rand"
	"net/netip"
)

// NewHost draws a loopback IP and returns it as an address with any free port.
//
// On one IP for all, the port of a VM that was killed may be given to a stand-in
// of another deployment that runs beside, in this process or in another one. The
// callers of the dead VM would then be answered by a stranger: noticed as answers
// without snapshot and coverage in a test of a kill. Deployments with IPs of
// their own, out of some eight million, do not meet.
func NewHost() string {
	var b [3]byte
	_, _ = rand.Read(b[:])
	const low, count = 1, 126 // 127.0 is everybody's, 127.127 and above unused.
	ip := netip.AddrFrom4([4]byte{127, low + b[0]%count, b[1], b[2]})
	return netip.AddrPortFrom(ip, 0).String()
}
