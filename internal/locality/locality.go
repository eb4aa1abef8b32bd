// Package locality tells how far things are from this VM: in its data centre, in its
// region, or in another region. It is pure.
package locality

// Distance is how far something is from this VM.
type Distance int

// Distances.
const (
	// Near is this VM's data centre.
	Near Distance = iota
	// Regional is another data centre of its region.
	Regional
	// Far is another region.
	Far
	// Distances is how many known distances there are.
	Distances
)

// Unknown stands for the distance of what has told no place.
const Unknown = Distances

// String is the distance's name in logs and metrics.
func (d Distance) String() string {
	return [...]string{"data_centre", "region", "far", "unknown"}[d]
}

// Place is where this VM is.
type Place struct {
	DataCentre string
	Region     string
	// Regions maps data centres to regions.
	Regions map[string]string
}

// Distance is how far a data centre is; one that is not known is taken for Far.
func (p Place) Distance(dataCentre string) Distance {
	if dataCentre == p.DataCentre {
		return Near
	}
	return p.Within(p.Regions[dataCentre], dataCentre)
}

// Within is how far a data centre of a region is; one that is not known is taken for Far.
func (p Place) Within(region, dataCentre string) Distance { return min(p.To(region, dataCentre), Far) }

// To is how far a data centre of a region is; Unknown where both are empty.
func (p Place) To(region, dataCentre string) Distance {
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
