package explain

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"

	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

// Flow is what the VMs of a fleet exchanged for one purpose over one distance.
type Flow struct {
	// Carrying says that callers were sent to the VMs.
	Carrying bool `json:"carrying"`
	// Purpose is what the bytes were for; "connections" counts connections opened to
	// upstreams in place of bytes.
	Purpose  string `json:"purpose"`
	Distance string `json:"distance"`
	Count    uint64 `json:"count"`
}

// Flows reads logs of any number of VMs and adds up what they exchanged, by whether they
// carried callers, by purpose and distance. What a VM that was lost had exchanged since its
// last line is not in it.
func Flows(logs ...io.Reader) ([]Flow, error) {
	counted := map[Flow]uint64{}
	err := scan(logs, func(_ int, raw []byte) {
		var fields map[string]any
		if json.Unmarshal(raw, &fields) != nil || fields["msg"] != traffic.Message {
			return
		}
		carrying, _ := fields[traffic.FieldCarrying].(bool)
		for name, value := range fields {
			purpose, distance, ok := traffic.SplitField(name)
			n, isNumber := value.(float64)
			if ok && isNumber {
				counted[Flow{Carrying: carrying, Purpose: purpose, Distance: distance}] += uint64(n)
			}
		}
	})
	if err != nil {
		return nil, err
	}
	flows := make([]Flow, 0, len(counted))
	for f, n := range counted {
		f.Count = n
		flows = append(flows, f)
	}
	slices.SortFunc(flows, func(a, b Flow) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Purpose, b.Purpose), cmp.Compare(a.Distance, b.Distance))
	})
	return flows, nil
}
