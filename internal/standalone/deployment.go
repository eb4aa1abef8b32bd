package standalone

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/finding"
	"sycamorekeel.example/sycamorekeel/internal/node"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/routing"
	"sycamorekeel.example/sycamorekeel/internal/tomlpb"
)

// Keys of the catalog items made from a deployment.
const (
	keyConfig      = "config"
	prefixUpstream = "upstream/"
)

// filePollInterval is the interval at which Watch reads the deployment file.
const filePollInterval = 200 * time.Millisecond

// ParseDeployment decodes and validates a deployment. It returns all findings, not
// just the first one.
func ParseDeployment(name string, data []byte) (*pb.EdgeDeployment, finding.List) {
	d := &pb.EdgeDeployment{}
	src := tomlpb.Decode(name, data, d)
	c := &checker{finding.Checker{File: name, Findings: src.Findings()}}
	if len(c.Findings) == 0 {
		c.deployment(d)
	}
	return d, c.Findings
}

func (c *checker) deployment(d *pb.EdgeDeployment) {
	if d.Version == 0 {
		c.Addf("version", "must be above 0")
	}
	for i, r := range d.Routes {
		c.route(fmt.Sprintf("routes[%d]", i), r)
	}
	seen := map[string]bool{}
	for i, u := range d.Upstreams {
		place := fmt.Sprintf("upstreams[%d]", i)
		c.NonEmpty(place+".id", u.Id)
		c.NonEmpty(place+".service", u.Service)
		c.Address(place+".address", u.Address)
		if seen[u.Id] {
			c.Addf(place+".id", "is given twice")
		}
		seen[u.Id] = true
	}
}

func (c *checker) route(place string, r *pb.EdgeRoute) {
	c.NonEmpty(place+".name", r.Name)
	c.NonEmpty(place+".host", r.Host)
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.Addf(place+".prefix", "must begin and end with a slash")
	}
	if (len(r.Targets) > 0) == (len(r.Shards) > 0) {
		c.Addf(place, "must have either targets or shards")
	}
	if r.MinCoveragePercent > 100 {
		c.Addf(place+".min_coverage_percent", "must be 100 at most")
	}
	total := uint32(0)
	for _, t := range r.Targets {
		total += t.Weight
	}
	if len(r.Targets) > 0 && total == 0 {
		c.Addf(place+".targets", "must have a weight above 0")
	}
}

// FileStore is a node.Store backed by a deployment file. The version in the file is the
// store's revision, so VMs with the same file agree on it.
type FileStore struct{ path string }

// NewFileStore returns a store that reads the file at path on every call.
func NewFileStore(path string) *FileStore { return &FileStore{path: path} }

// List implements node.Store.
func (f *FileStore) List(bool) (catalog.Position, []catalog.Item, error) {
	d, err := f.read()
	if err != nil {
		return catalog.Position{}, nil, err
	}
	items, err := deploymentItems(d)
	return catalog.Position{Revision: d.Version}, items, trace.Wrap(err)
}

// Watch implements node.Store. A file keeps no history, so Watch reports a newer
// version as node.ErrCompacted and the caller has to list again.
func (f *FileStore) Watch(after uint64, wait time.Duration) (catalog.Position, []catalog.Item, error) {
	for end := time.Now().Add(wait); ; time.Sleep(filePollInterval) {
		d, err := f.read()
		if err != nil {
			return catalog.Position{}, nil, err
		}
		if d.Version > after {
			return catalog.Position{}, nil, node.ErrCompacted
		}
		if !time.Now().Before(end) {
			return catalog.Position{Revision: after}, nil, nil
		}
	}
}

// Configuration implements node.Store.
func (f *FileStore) Configuration() (catalog.Item, error) {
	_, items, err := f.List(false)
	if err != nil {
		return catalog.Item{}, err
	}
	return items[0], nil
}

// OnLargeRead implements node.Store. A file is read as a whole.
func (f *FileStore) OnLargeRead(func(large bool) bool) {}

// Prefer implements node.Store.
func (f *FileStore) Prefer(func(key string) bool) {}

// LeftOut implements node.Store.
func (f *FileStore) LeftOut() uint64 { return 0 }

func (f *FileStore) read() (*pb.EdgeDeployment, error) {
	data, err := os.ReadFile(f.path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	d, findings := ParseDeployment(f.path, data)
	return d, trace.Wrap(findings.Err())
}

// deploymentItems converts a deployment to catalog items: one for the routes and services
// together and one per upstream.
func deploymentItems(d *pb.EdgeDeployment) ([]catalog.Item, error) {
	config, err := proto.Marshal(&pb.EdgeDeployment{Version: d.Version, Routes: d.Routes, Services: d.Services})
	if err != nil {
		return nil, err
	}
	items := []catalog.Item{{Key: keyConfig, Value: config, Revision: d.Version, Created: d.Version}}
	for _, u := range d.Upstreams {
		value, err := proto.Marshal(u)
		if err != nil {
			return nil, err
		}
		items = append(items, catalog.Item{Key: prefixUpstream + u.Id, Value: value, Revision: d.Version, Created: d.Version})
	}
	return items, nil
}

// ItemDecoder is the catalog.Decoder for the items of a deployment file.
type ItemDecoder struct{}

// Kind implements catalog.Decoder.
func (ItemDecoder) Kind(key string) catalog.Kind {
	switch {
	case key == keyConfig:
		return catalog.Configuration
	case strings.HasPrefix(key, prefixUpstream):
		return catalog.Registration
	default:
		return catalog.Other
	}
}

// Evacuated implements catalog.Decoder. A deployment file cannot request an
// evacuation, so the result is always empty.
func (ItemDecoder) Evacuated(string) string { return "" }

// Config implements catalog.Decoder.
func (ItemDecoder) Config(it catalog.Item) (*routing.Config, error) {
	d := &pb.EdgeDeployment{}
	if err := proto.Unmarshal(it.Value, d); err != nil {
		return nil, trace.Wrap(err)
	}
	c := &checker{finding.Checker{File: it.Key}}
	c.deployment(d)
	out := &routing.Config{Version: d.Version}
	for _, r := range d.Routes {
		out.Routes = append(out.Routes, convertRoute(r))
	}
	for _, s := range d.Services {
		out.Services = append(out.Services, routing.Service{Name: s.Name, MaxConnections: int(s.Connections)})
	}
	return out, trace.Wrap(c.Findings.Err())
}

func convertRoute(r *pb.EdgeRoute) routing.Route {
	out := routing.Route{
		Name:        r.Name,
		Host:        r.Host,
		Prefix:      r.Prefix,
		Idempotent:  r.Idempotent,
		Timeout:     milliseconds(r.TimeoutMs),
		Objective:   milliseconds(r.ObjectiveMs),
		Priority:    int(r.Priority),
		Attempts:    int(r.Attempts),
		Shards:      r.Shards,
		TopK:        int(r.TopK),
		MinCoverage: float64(r.MinCoveragePercent) / 100,
	}
	for _, t := range r.Targets {
		out.Targets = append(out.Targets, routing.Target{Service: t.Service, Weight: float64(t.Weight)})
	}
	return out
}

// Upstream implements catalog.Decoder.
func (ItemDecoder) Upstream(it catalog.Item) (catalog.Upstream, error) {
	u := &pb.EdgeUpstream{}
	if err := proto.Unmarshal(it.Value, u); err != nil {
		return catalog.Upstream{}, trace.Wrap(err)
	}
	return catalog.Upstream{
		ID: u.Id, Service: u.Service, Address: u.Address, DataCentre: u.DataCentre,
		Slots: int(u.Slots), Leaving: u.Leaving, RegisteredRevision: it.Created,
	}, nil
}
