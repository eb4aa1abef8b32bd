package edge

// ingressShare is the fraction of the fleet limits that is divided among the VMs that
// callers are directed to. The rest goes to the other VMs: callers reach them while they use
// an outdated directory answer, and the VMs' views may differ for a moment.
const ingressShare = 0.8

// Shares describes how a limit for the whole fleet is divided among the VMs.
type Shares struct {
	// VMs is the number of VMs.
	VMs int
	// Carriers is the number of VMs that callers are directed to.
	Carriers int
	// Carrying says that callers are directed to this VM.
	Carrying bool
}

// portion returns this VM's share of a limit.
func (s *Shares) portion(bound float64) float64 {
	if s.Carriers <= 0 || s.Carriers >= s.VMs {
		return bound * ingressShare / float64(max(1, s.VMs))
	}
	if s.Carrying {
		return bound * ingressShare / float64(s.Carriers)
	}
	return bound * (1 - ingressShare) / float64(s.VMs-s.Carriers)
}
