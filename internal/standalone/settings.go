// Package standalone runs a node over the project's own interface: settings and a
// deployment file in TOML, the project's own headers and calls.
package standalone

import (
	"os"
	"time"

	"github.com/gravitational/trace"

	"sycamorekeel.example/sycamorekeel/internal/finding"
	"sycamorekeel.example/sycamorekeel/internal/node"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
	"sycamorekeel.example/sycamorekeel/internal/tomlpb"
)

// Defaults of the settings that may be left out.
const (
	defaultMillicores  = 1000
	defaultChangeBound = 3000
	defaultGrace       = 6000
	defaultMaxTTL      = 5000
	defaultWindow      = 10_000
	defaultMemory      = 256
	defaultDescriptors = 4096
)

// LoadSettings reads and checks a settings file. The node's store is the path of
// the deployment file.
func LoadSettings(path string) (*node.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	s, findings := ParseSettings(path, data)
	if err := findings.Err(); err != nil {
		return nil, trace.Wrap(err)
	}
	return convert(s), nil
}

// ParseSettings decodes and checks settings; every fault is reported.
func ParseSettings(name string, data []byte) (*pb.EdgeSettings, finding.List) {
	s := &pb.EdgeSettings{}
	src := tomlpb.Decode(name, data, s)
	c := &checker{finding.Checker{File: name, Findings: src.Findings()}}
	if len(c.Findings) == 0 {
		c.settings(s)
	}
	return s, c.Findings
}

// checker collects what is wrong with a file.
type checker struct{ finding.Checker }

func (c *checker) settings(s *pb.EdgeSettings) {
	c.Given("vm", s.Vm)
	c.Given("region", s.Region)
	c.Given("data_centre", s.DataCentre)
	c.Given("deployment", s.Deployment)
	c.Address("caller_address", s.CallerAddress)
	c.Address("ready_address", s.ReadyAddress)
	c.Address("directory_address", s.DirectoryAddress)
	c.Address("peer_address", s.PeerAddress)
	c.Address("metrics_address", s.MetricsAddress)
	for _, seed := range s.Seeds {
		c.Address("seeds", seed)
	}
}

func convert(s *pb.EdgeSettings) *node.Settings {
	regions := map[string]string{s.DataCentre: s.Region}
	for _, dc := range s.RegionDataCentres {
		regions[dc] = s.Region
	}
	return &node.Settings{
		VM:               s.Vm,
		DataCentre:       s.DataCentre,
		Region:           s.Region,
		Regions:          regions,
		CallerAddress:    s.CallerAddress,
		ReadyAddress:     s.ReadyAddress,
		DirectoryAddress: s.DirectoryAddress,
		PeerAddress:      s.PeerAddress,
		MetricsAddress:   s.MetricsAddress,
		Seeds:            s.Seeds,
		Store:            s.Deployment,
		Cores:            float64(or(s.Millicores, defaultMillicores)) / 1000,
		MemoryBytes:      int64(or(s.MemoryMb, defaultMemory)) << 20,
		Descriptors:      int(or(s.Descriptors, defaultDescriptors)),
		ChangeBound:      milliseconds(or(s.ChangeBoundMs, defaultChangeBound)),
		Grace:            milliseconds(or(s.GraceMs, defaultGrace)),
		MaxTTL:           milliseconds(or(s.MaxTtlMs, defaultMaxTTL)),
		Budget: retrybudget.Limit{
			Ratio:     float64(s.RetryPercent) / 100,
			Window:    milliseconds(or(s.RetryWindowMs, defaultWindow)),
			Allowance: float64(s.RetryAllowance),
		},
	}
}

func or(v, def uint32) uint32 {
	if v == 0 {
		return def
	}
	return v
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
