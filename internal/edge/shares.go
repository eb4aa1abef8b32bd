package edge

// carrierShare is the part of the fleet's bounds that the VMs share out to which
// callers are sent. The rest is for the others: callers come to them while they
// keep an older answer of the directory, and views differ for a moment.
const carrierShare = 0.8

// Shares is how a bound on all VMs together is shared out.
type Shares struct {
	// VMs is how many VMs there are.
	VMs int
	// Carriers is how many of them callers are sent to.
	Carriers int
	// Carrying says that this VM is one of them.
	Carrying bool
}

// of is this VM's part of a bound.
func (s *Shares) of(bound float64) float64 {
	if s.Carriers <= 0 || s.Carriers >= s.VMs {
		return bound * carrierShare / float64(max(1, s.VMs))
	}
	if s.Carrying {
		return bound * carrierShare / float64(s.Carriers)
	}
	return bound * (1 - carrierShare) / float64(s.VMs-s.Carriers)
}
