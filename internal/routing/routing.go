// Package routing holds the routes of one configuration and finds the route of
// a request: by host, then by the longest prefix of the path. A Table is
// immutable; a new configuration compiles a new one.
package routing

import (
	"slices"
	"strings"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/finding"
)

// Config is one version of the routes, the services behind them and the limits
// of callers.
type Config struct {
	// Version increases with each configuration; the steps may be uneven.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Warnings are faults that do not keep the configuration from being in force.
	Warnings finding.List
}

// Route says where the requests of one host and path prefix go.
type Route struct {
	// Name identifies the route in logs and metrics.
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest that a caller may be kept waiting.
	Timeout time.Duration
	// Objective is the answer time that the contract promises.
	Objective time.Duration
	// Priority ranks routes when work must wait; 0 is the most urgent.
	Priority int
	// Attempts is the most upstreams that may run one request, for each shard.
	Attempts int
	// Targets share the requests by weight; empty on a route with Shards.
	Targets []Target
	// Shards are the services that each answer a part of a query.
	Shards []string
	// TopK is how many of the greatest records an answer holds.
	TopK int
	// MinCoverage is the least share of the shards that makes an answer, 0 to 1.
	MinCoverage float64
	// Homes is where the requests may be served.
	Homes Homes
}

// Target is one service of a weighted split.
type Target struct {
	Service string
	Weight  float64
}

// Service is a set of equal upstreams.
type Service struct {
	Name string
	// MaxConnections is what one upstream takes from all VMs together; 0 is
	// unknown.
	MaxConnections int
	// HealthPath is where upstreams tell of themselves.
	HealthPath string
	// ColdBound says that an upstream bears only a few requests a second while it is cold.
	ColdBound bool
}

// Limits bound what a caller may send; a zero field sets no bound.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
}

// FanOut tells whether the route's requests go to many shards.
func (r *Route) FanOut() bool { return len(r.Shards) > 0 }

// Pick chooses the service of a plain request by a number in [0, 1).
func (r *Route) Pick(at float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at *= total
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Table finds routes. The zero value has none.
type Table struct {
	version  uint64
	limits   Limits
	byHost   map[string][]*Route
	services map[string]Service
}

// Compile builds the table of a configuration.
func Compile(c *Config) *Table {
	t := &Table{
		version:  c.Version,
		limits:   c.Limits,
		byHost:   map[string][]*Route{},
		services: make(map[string]Service, len(c.Services)),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return strings.Compare(a.Prefix, b.Prefix) })
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	return t
}

// Version is the configuration's version.
func (t *Table) Version() uint64 { return t.version }

// Limits is what callers are held to.
func (t *Table) Limits() Limits { return t.limits }

// Service is a service by name; false when the configuration does not name it.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Lookup is the route of a request, nil without one. A port in the host is
// ignored.
func (t *Table) Lookup(host, path string) *Route {
	routes := t.byHost[NormalHost(host)]
	// Prefixes of the path sort before it, longer ones later: the last match
	// below the path's place is the longest.
	for i := searchPrefix(routes, path) - 1; i >= 0; i-- {
		if strings.HasPrefix(path, routes[i].Prefix) {
			return routes[i]
		}
	}
	return nil
}

// searchPrefix is how many prefixes sort at or before the path.
func searchPrefix(routes []*Route, path string) int {
	n, found := slices.BinarySearchFunc(routes, path, func(r *Route, p string) int { return strings.Compare(r.Prefix, p) })
	if found {
		n++
	}
	return n
}

// NormalHost is a host as routes are looked up by: without its port, in lower case.
func NormalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
