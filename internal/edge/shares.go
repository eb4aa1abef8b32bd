package edge

// ingressShare is the fraction of the fleet limits that is divided among the VMs that
// callers are directed to. The rest goes to the other VMs: callers reach them while they use
// an outdated directory answer, and the VMs' views may differ for a moment.
const ingressShare = 0.8

// Shares describes how a limit for the whole fleet is divided among the VMs.
type Shares struct {
	// VMs is the number of VMs.
	VMs int
	// IngressVMs is the number of VMs that callers are directed to.
	IngressVMs int
	// Ingress says that callers are directed to this VM.
	Ingress bool
}

// ingressVMs returns the number of VMs that callers are directed to, or of all VMs if that is not known.
func (s *Shares) ingressVMs() int {
	if s.IngressVMs <= 0 {
		return s.VMs
	}
	return s.IngressVMs
}

// portion returns this VM's share of a limit.
func (s *Shares) portion(bound float64) float64 {
	if s.IngressVMs <= 0 || s.IngressVMs >= s.VMs {
		return bound * ingressShare / float64(max(1, s.VMs))
	}
	if s.Ingress {
		return bound * ingressShare / float64(s.IngressVMs)
	}
	return bound * (1 - ingressShare) / float64(s.VMs-s.IngressVMs)
}
