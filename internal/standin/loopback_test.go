package standin

import (
	"net/netip"
	"testing"
)

// Symptom: in a test of a killed VM its callers get answers without snapshot.
// Sequence: the VM's port becomes free; a stand-in of another deployment gets it.
// Cause: all deployments used one loopback IP.
func TestNewHostIsALoopbackIPOfItsOwn(t *testing.T) {
	seen := map[netip.Addr]bool{netip.MustParseAddr("127.0.0.1"): true}
	for range 8 {
		u, err := StartUpstreamAt(NewHost(), "a", 1, Behaviour{})
		if err != nil {
			t.Fatal(err)
		}
		at := netip.MustParseAddrPort(u.Address()).Addr()
		u.Close()
		if !at.IsLoopback() || seen[at] {
			t.Errorf("%s is shared", at)
		}
		seen[at] = true
	}
}
