// Package standalone connects a node to the project's own interface: settings and
// a deployment file in TOML, and the project's own HTTP headers and endpoints.
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

// Defaults of the optional settings, in the units of the settings: CPU in
// millicores, memory in MiB, durations in milliseconds.
const (
	defaultMillicores  = 1000
	defaultChangeBound = 3000
	defaultGrace       = 6000
	defaultMaxTTL      = 5000
	defaultWindow      = 10_000
	defaultMemory      = 256
	defaultDescriptors = 4096
)

// LoadSettings reads and validates a settings file. Store in the result is the path
// of the deployment file.
func LoadSettings(path string) (*node.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	s, findings := ParseSettings(path, data)
	if err := findings.Err(); err != nil {
		return nil, trace.Wrap(err)
	}
	return nodeSettings(s), nil
}

// ParseSettings decodes and validates settings. It returns all findings, not just
// the first one.
func ParseSettings(name string, data []byte) (*pb.EdgeSettings, finding.List) {
	s := &pb.EdgeSettings{}
	src := tomlpb.Decode(name, data, s)
	c := &checker{finding.Checker{File: name, Findings: src.Findings()}}
	if len(c.Findings) == 0 {
		c.settings(s)
	}
	return s, c.Findings
}

// checker validates a file and collects its findings.
type checker struct{ finding.Checker }

func (c *checker) settings(s *pb.EdgeSettings) {
	c.NonEmpty("vm", s.Vm)
	c.NonEmpty("region", s.Region)
	c.NonEmpty("data_centre", s.DataCentre)
	c.NonEmpty("deployment", s.Deployment)
	c.Address("caller_address", s.CallerAddress)
	c.Address("ready_address", s.ReadyAddress)
	c.Address("directory_address", s.DirectoryAddress)
	c.Address("peer_address", s.PeerAddress)
	c.Address("metrics_address", s.MetricsAddress)
	for _, seed := range s.Seeds {
		c.Address("seeds", seed)
	}
}

func nodeSettings(s *pb.EdgeSettings) *node.Settings {
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
		StoreAddress:     s.Deployment,
		Cores:            float64(valueOr(s.Millicores, defaultMillicores)) / 1000,
		MemoryBytes:      int64(valueOr(s.MemoryMb, defaultMemory)) << 20,
		Descriptors:      int(valueOr(s.Descriptors, defaultDescriptors)),
		ChangeBound:      milliseconds(valueOr(s.ChangeBoundMs, defaultChangeBound)),
		Grace:            milliseconds(valueOr(s.GraceMs, defaultGrace)),
		MaxDirectoryTTL:  milliseconds(valueOr(s.MaxTtlMs, defaultMaxTTL)),
		RetryBudget: retrybudget.Limit{
			Ratio:     float64(s.RetryPercent) / 100,
			Window:    milliseconds(valueOr(s.RetryWindowMs, defaultWindow)),
			Allowance: float64(s.RetryAllowance),
		},
	}
}

// valueOr returns def if v is 0, which means that the setting is left out.
func valueOr(v, def uint32) uint32 {
	if v == 0 {
		return def
	}
	return v
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
