package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// Token is the bearer token of the customer that Office makes.
const Token = "land-office-token"

// Kind is a request kind of a document for tests. RatePerSecond, Concurrency and
// DeadlineMS that are zero get bounds that no test reaches; MaxHits that is zero
// leaves the number of hits to the request.
type Kind struct {
	Name, Service string
	RatePerSecond int
	Concurrency   int
	DeadlineMS    int
	CoverageFloor float64
	WaitForFull   bool
	Idempotent    bool
	HedgePercent  int
	RetryPercent  int
	Merge         string
	MaxHits       int
}

// Bounds that no test reaches.
const (
	freeRate        = 100_000
	freeConcurrency = 3000
	freeDeadline    = 20_000
)

// Office is a customer with kinds, as a part of a document.
func Office(kinds ...Kind) string {
	hash := sha256.Sum256([]byte(Token))
	var b strings.Builder
	fmt.Fprintf(&b, "[[customers]]\nname = \"office\"\ntoken_sha256 = [%q]\n", hex.EncodeToString(hash[:]))
	for _, k := range kinds {
		k.write(&b)
	}
	return b.String()
}

func (k Kind) write(b *strings.Builder) {
	fmt.Fprintf(b, "[[customers.kinds]]\nname = %q\nservice = %q\nweight = 1\npriority = \"normal\"\n", k.Name, k.Service)
	fmt.Fprintf(b, "rate_per_second = %d\n", or(k.RatePerSecond, freeRate))
	fmt.Fprintf(b, "concurrency = %d\n", or(k.Concurrency, freeConcurrency))
	fmt.Fprintf(b, "deadline_ms = %d\n", or(k.DeadlineMS, freeDeadline))
	fmt.Fprintf(b, "coverage_floor = %v\n", k.CoverageFloor)
	fmt.Fprintf(b, "wait_for_full = %v\n", k.WaitForFull)
	fmt.Fprintf(b, "idempotent = %v\n", k.Idempotent)
	fmt.Fprintf(b, "hedge_percent = %d\nretry_percent = %d\n", k.HedgePercent, k.RetryPercent)
	fmt.Fprintf(b, "merge = %q\n", k.Merge)
	if k.MaxHits > 0 {
		fmt.Fprintf(b, "max_hits = %d\n", k.MaxHits)
	}
}

func or(v, def int) int {
	if v == 0 {
		return def
	}
	return v
}

// Service is a service of a document for tests.
type Service struct {
	Name, Path string
	// Upstreams are ids; the i-th stands in data centre d1, d2 or d3 in turn.
	Upstreams []string
	// Slots and Connections are each upstream's.
	Slots, Connections int
	// Shards holds the ids of each shard's replicas, Documents the size of each
	// shard.
	Shards    [][]string
	Documents int
}

// Text is the service as a part of a document, with one shard map of generation 1
// and version 1.
func (s Service) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[[services]]\nname = %q\npath = %q\n", s.Name, s.Path)
	for i, id := range s.Upstreams {
		fmt.Fprintf(&b, "[[services.upstreams]]\nid = %q\naddress = \"127.0.0.1:%d\"\ndata_centre = \"d%d\"\nslots = %d\nconnections = %d\n",
			id, i+1, i%3+1, s.Slots, s.Connections)
	}
	b.WriteString(MapText(1, "[1]", s.Shards, max(1, s.Documents)))
	return b.String()
}

// MapText is a shard map as a part of a service; versions is a list as TOML has
// it, shards the replicas of each.
func MapText(generation int, versions string, shards [][]string, documents int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[[services.maps]]\ngeneration = %d\nversions = %s\n", generation, versions)
	for i, replicas := range shards {
		quoted := make([]string, len(replicas))
		for k, id := range replicas {
			quoted[k] = fmt.Sprintf("%q", id)
		}
		fmt.Fprintf(&b, "[[services.maps.shards]]\nid = %d\ndocuments = %d\nreplicas = [%s]\n", i, documents, strings.Join(quoted, ", "))
	}
	return b.String()
}
