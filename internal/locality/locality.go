// Package locality classifies the distance of other VMs and upstreams from this VM: same
// data centre, same region or another region. All its functions are pure.
package locality

// Distance is the distance of something from this VM. Smaller values are closer.
type Distance int

// Distances in ascending order.
const (
	// Near is this VM's data centre.
	Near Distance = iota
	// Regional is another data centre of this VM's region.
	Regional
	// Far is another region.
	Far
	// Distances is the number of known distances.
	Distances
)

// Unknown is the distance of something whose location is not known.
const Unknown = Distances

// String returns the name of the distance in logs and metrics.
func (d Distance) String() string {
	return [...]string{"data_centre", "region", "far", "unknown"}[d]
}

// Place is the location of this VM.
type Place struct {
	DataCentre string
	Region     string
	// Regions maps data centres to their regions.
	Regions map[string]string
}

// Distance returns the distance of a data centre. One that is not in Regions counts as Far.
func (p Place) Distance(dataCentre string) Distance {
	if dataCentre == p.DataCentre {
		return Near
	}
	return p.KnownDistanceTo(p.Regions[dataCentre], dataCentre)
}

// KnownDistanceTo returns the distance of a data centre in a region. An unknown location counts as Far.
func (p Place) KnownDistanceTo(region, dataCentre string) Distance {
	return min(p.DistanceTo(region, dataCentre), Far)
}

// DistanceTo returns the distance of a data centre in a region, or Unknown if both names are empty.
func (p Place) DistanceTo(region, dataCentre string) Distance {
	switch {
	case region == "" && dataCentre == "":
		return Unknown
	case region != p.Region:
		return Far
	case dataCentre == p.DataCentre:
		return Near
	default:
		return Regional
	}
}
