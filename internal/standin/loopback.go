package standin

import (
	"net/netip"
	"os"
)

// FreePort is an address on this process's own loopback IP, with any free port.
//
// On one IP for all, the port of a VM that was killed may be given to a stand-in
// of another process that runs beside, as the tests of several packages do. The
// callers of the dead VM would then be answered by a stranger: noticed as answers
// without snapshot and coverage in a test of a kill. Processes with IPs of their
// own cannot meet.
func FreePort() string {
	pid := os.Getpid()
	const low = 1 // 127.0 is everybody's.
	ip := netip.AddrFrom4([4]byte{127, low + byte(pid>>16)&0x7f, byte(pid >> 8), byte(pid)})
	return netip.AddrPortFrom(ip, 0).String()
}
