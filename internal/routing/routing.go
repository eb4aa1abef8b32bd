// Package routing defines the routing configuration and finds the route of a
// request by its host and then by the longest matching path prefix. A Table is
// immutable; each new configuration is compiled into a new one.
package routing

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/finding"
)

// Config is one version of the routing configuration: the routes, the services
// behind them and the limits for callers.
type Config struct {
	// Version increases with each configuration, not necessarily by 1.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Warnings lists faults that do not prevent the configuration from taking
	// effect.
	Warnings finding.List
}

// Route defines how requests for one host and path prefix are served.
type Route struct {
	// Name identifies the route in logs and metrics.
	Name string
	Host string
	// Prefix is a path prefix that begins and ends with a slash.
	Prefix string
	// Idempotent says that a request may run more than once.
	Idempotent bool
	// Timeout is the maximum time until a caller gets its answer.
	Timeout time.Duration
	// Objective is the contracted response time.
	Objective time.Duration
	// Priority orders the routes when requests have to wait; 0 is the most urgent.
	Priority int
	// Attempts is the maximum number of upstreams that may run a request, per
	// shard.
	Attempts int
	// Targets receive the requests in proportion to their weights. Empty if Shards
	// is set.
	Targets []Target
	// Shards are the services that each answer a part of every query.
	Shards []string
	// TopK is the number of highest-ranked records in an answer.
	TopK int
	// MinCoverage is the minimum fraction of the shards that an answer must
	// include, from 0 to 1.
	MinCoverage float64
	// Homes restricts the regions in which requests may be served.
	Homes Homes
}

// Target is one service of a weighted split.
type Target struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections that one upstream accepts
	// from all VMs together; 0 means unknown.
	MaxConnections int
	// HealthPath is the path of the upstreams' health endpoint; empty if they have
	// none.
	HealthPath string
	// ColdLimited says that an upstream can serve only a few requests per second while
	// it is cold.
	ColdLimited bool
}

// Limits holds the maximum sizes of a request; 0 means unlimited.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
}

// FanOut reports whether the route's requests are scattered to shards.
func (r *Route) FanOut() bool { return len(r.Shards) > 0 }

// Pick returns the service for a request of a route with Targets. It maps point, a
// number in [0, 1), to the targets in proportion to their weights.
func (r *Route) Pick(point float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	point *= total
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Table finds the route of a request. The zero value has no routes.
type Table struct {
	version  uint64
	limits   Limits
	byHost   map[string][]*Route
	services map[string]Service
	// shared holds, for each shard that routes of several priorities name, the priorities in
	// ascending order.
	shared map[string][]int
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
	t.shared = sharedPriorities(c.Routes)
	return t
}

// sharedPriorities returns the distinct priorities of the routes that name a shard, for the
// shards with more than one.
func sharedPriorities(routes []Route) map[string][]int {
	out := map[string][]int{}
	for i := range routes {
		for _, shard := range routes[i].Shards {
			if !slices.Contains(out[shard], routes[i].Priority) {
				out[shard] = append(out[shard], routes[i].Priority)
			}
		}
	}
	maps.DeleteFunc(out, func(_ string, priorities []int) bool { return len(priorities) == 1 })
	for _, priorities := range out {
		slices.Sort(priorities)
	}
	return out
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the service with the given name, and false if the configuration
// does not define it.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// SharedPriorities returns the priorities of the routes that share a shard in ascending order,
// or nil if they have only one.
func (t *Table) SharedPriorities(shard string) []int { return t.shared[shard] }

// Lookup returns the route of a request, or nil if there is none. It ignores a port
// in the host.
func (t *Table) Lookup(host, path string) *Route {
	routes := t.byHost[NormalHost(host)]
	// All prefixes of the path sort at or before it, shorter ones first, so the
	// last one that matches is the longest.
	for i := searchPrefix(routes, path) - 1; i >= 0; i-- {
		if strings.HasPrefix(path, routes[i].Prefix) {
			return routes[i]
		}
	}
	return nil
}

// searchPrefix returns the number of routes whose prefix sorts at or before the path.
func searchPrefix(routes []*Route, path string) int {
	n, found := slices.BinarySearchFunc(routes, path, func(r *Route, p string) int { return strings.Compare(r.Prefix, p) })
	if found {
		n++
	}
	return n
}

// NormalHost returns the host in lower case and without its port, as routes are looked
// up by it.
func NormalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
