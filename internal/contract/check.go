// Package contract validates the documents that operators publish and compiles
// the accepted ones into an immutable snapshot, which all decisions about
// requests read. Validation depends on the bytes of the document alone, so all
// daemons accept and reject the same documents.
package contract

import (
	"fmt"
	"net/netip"
	"regexp"

	"sycamorekeel.example/sycamorekeel/internal/finding"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/tomlpb"
)

// Upper bounds of the fields of a document.
const (
	MaxDeadlineMS   = 600_000
	MaxRate         = 1e6
	MaxConcurrency  = 1e6
	MaxWeight       = 1000
	MaxExtraPercent = 100
	MaxSlots        = 10_000
	MaxHits         = 10_000
	// MaxDocuments limits the documents of one shard, so that the sum over all
	// shards stays exact.
	MaxDocuments = 1e12
	MaxReplicas  = 64
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathPattern = regexp.MustCompile(`^/[A-Za-z0-9._~/-]{0,254}$`)
)

// Check decodes and validates one document; name is the file name in the
// findings. The document is valid only if the list of findings is empty.
func Check(name string, body []byte) (*pb.Document, finding.List) {
	doc := &pb.Document{}
	c := checker{
		src:         tomlpb.Decode(name, body, doc),
		hashes:      firstUse{},
		addresses:   firstUse{},
		vmAddresses: firstUse{},
		regions:     map[string]string{},
	}
	if len(c.src.Findings()) > 0 {
		return doc, c.src.Findings()
	}
	c.document(doc)
	return doc, c.src.Findings()
}

// checker validates one document and adds its findings to src.
type checker struct {
	src *tomlpb.Source
	// hashes holds the token hashes of all customers.
	hashes firstUse
	// addresses holds the addresses of upstreams, vmAddresses those of VMs.
	addresses, vmAddresses firstUse
	// regions maps each data centre to its region.
	regions map[string]string
}

func (c *checker) document(doc *pb.Document) {
	if len(doc.Customers)+len(doc.Services)+len(doc.Vms) == 0 {
		c.src.Addf("", "holds no customers, services or vms")
	}
	customers, services, vms := firstUse{}, firstUse{}, firstUse{}
	for i, v := range doc.Customers {
		field := fmt.Sprintf("customers[%d]", i)
		c.uniqueName(customers, field+".name", v.Name)
		c.customer(field, v)
	}
	for i, v := range doc.Services {
		field := fmt.Sprintf("services[%d]", i)
		c.uniqueName(services, field+".name", v.Name)
		c.service(field, v)
	}
	for i, v := range doc.Vms {
		field := fmt.Sprintf("vms[%d]", i)
		c.uniqueName(vms, field+".id", v.Id)
		c.vm(field, v)
	}
}

// firstUse maps each value that must be unique to the field that first used it.
type firstUse map[string]string

// uniqueName checks the form of a name and that seen does not hold it yet.
func (c *checker) uniqueName(seen firstUse, field, name string) {
	if !namePattern.MatchString(name) {
		c.src.Addf(field, "must be 1 to 63 of a-z, 0-9, '.', '_', '-', starting with a letter or digit, not %q", name)
		return
	}
	c.uniqueValue(seen, field, name)
}

func (c *checker) uniqueValue(seen firstUse, field, text string) {
	if first, ok := seen[text]; ok {
		c.src.Addf(field, "%q is already used by %s", text, first)
		return
	}
	seen[text] = field
}

func (c *checker) customer(field string, v *pb.Customer) {
	if len(v.TokenSha256) == 0 {
		c.src.Addf(field+".token_sha256", "must hold at least one hash")
	}
	for i, h := range v.TokenSha256 {
		element := fmt.Sprintf("%s.token_sha256[%d]", field, i)
		if !hashPattern.MatchString(h) {
			c.src.Addf(element, "must be 64 lower-case hex digits")
			continue
		}
		c.uniqueValue(c.hashes, element, h)
	}
	if len(v.Kinds) == 0 {
		c.src.Addf(field+".kinds", "must hold at least one request kind")
	}
	kinds := firstUse{}
	for i, k := range v.Kinds {
		element := fmt.Sprintf("%s.kinds[%d]", field, i)
		c.uniqueName(kinds, element+".name", k.Name)
		c.kind(element, k)
	}
}

func (c *checker) kind(field string, k *pb.Kind) {
	if !namePattern.MatchString(k.Service) {
		c.src.Addf(field+".service", "must name a service")
	}
	c.inRange(field+".rate_per_second", k.RatePerSecond, 0.01, MaxRate)
	c.inRange(field+".concurrency", float64(k.Concurrency), 1, MaxConcurrency)
	c.inRange(field+".weight", float64(k.Weight), 1, MaxWeight)
	c.inRange(field+".deadline_ms", float64(k.DeadlineMs), 1, MaxDeadlineMS)
	c.inRange(field+".coverage_floor", k.CoverageFloor, 0, 1)
	c.inRange(field+".hedge_percent", k.HedgePercent, 0, MaxExtraPercent)
	c.inRange(field+".retry_percent", k.RetryPercent, 0, MaxExtraPercent)
	c.inRange(field+".max_hits", float64(k.MaxHits), 0, MaxHits)
	if k.Priority == pb.Priority_PRIORITY_UNSPECIFIED {
		c.src.Addf(field+".priority", "must be set to low, normal or high")
	}
	if k.Merge == pb.Merge_MERGE_UNSPECIFIED {
		c.src.Addf(field+".merge", "must be set to top_k, concat or single")
	}
	if k.SoftDeadlineMs >= k.DeadlineMs && k.SoftDeadlineMs > 0 {
		c.src.Addf(field+".soft_deadline_ms", "must be below deadline_ms (%d), not %d", k.DeadlineMs, k.SoftDeadlineMs)
	}
	if k.WaitForFull && k.SoftDeadlineMs > 0 {
		c.src.Addf(field+".soft_deadline_ms", "cannot be combined with wait_for_full: one answers early, the other waits")
	}
	if !k.Idempotent && k.HedgePercent > 0 {
		c.src.Addf(field+".hedge_percent", "must be 0 for a non-idempotent kind, which runs at most once")
	}
}

func (c *checker) inRange(field string, v, low, high float64) {
	if v < low || v > high {
		c.src.Addf(field, "must be from %g to %g, not %g", low, high, v)
	}
}

func (c *checker) service(field string, v *pb.Service) {
	if !pathPattern.MatchString(v.Path) {
		c.src.Addf(field+".path", "must be '/' and up to 254 of letters, digits, '.', '_', '~', '/', '-', not %q", v.Path)
	}
	if len(v.Upstreams) == 0 {
		c.src.Addf(field+".upstreams", "must hold at least one upstream")
	}
	ids := firstUse{}
	for i, u := range v.Upstreams {
		element := fmt.Sprintf("%s.upstreams[%d]", field, i)
		c.uniqueName(ids, element+".id", u.Id)
		c.upstream(element, u)
	}
	if len(v.Maps) == 0 {
		c.src.Addf(field+".maps", "must hold at least one shard map")
	}
	generations := map[uint32]bool{}
	for i, m := range v.Maps {
		element := fmt.Sprintf("%s.maps[%d]", field, i)
		if generations[m.Generation] {
			c.src.Addf(element+".generation", "%d is already used", m.Generation)
		}
		generations[m.Generation] = true
		c.shardMap(element, m, ids)
	}
}

func (c *checker) upstream(field string, u *pb.Upstream) {
	c.address(c.addresses, field+".address", u.Address)
	if !namePattern.MatchString(u.DataCentre) {
		c.src.Addf(field+".data_centre", "must name a data centre")
	}
	c.inRange(field+".slots", float64(u.Slots), 1, MaxSlots)
	c.inRange(field+".connections", float64(u.Connections), 1, MaxSlots)
	if u.Connections < u.Slots {
		c.src.Addf(field+".connections", "must be at least slots (%d), not %d", u.Slots, u.Connections)
	}
}

// address checks that an address is valid and unique. If two upstreams shared
// an address, each would open its full number of connections to a server that
// accepts that number only once.
func (c *checker) address(seen firstUse, field, text string) {
	addr, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		c.src.Addf(field, "must be an IP and port, not %q", text)
	case addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast():
		c.src.Addf(field, "must be an address that can be connected to, not %q", text)
	default:
		c.uniqueValue(seen, field, text)
	}
}

func (c *checker) shardMap(field string, m *pb.ShardMap, upstreams firstUse) {
	if len(m.Versions) == 0 {
		c.src.Addf(field+".versions", "must hold at least one index version")
	}
	for i := 1; i < len(m.Versions); i++ {
		if m.Versions[i] <= m.Versions[i-1] {
			c.src.Addf(fmt.Sprintf("%s.versions[%d]", field, i), "must be above the one before it")
		}
	}
	if len(m.Shards) == 0 {
		c.src.Addf(field+".shards", "must hold at least one shard")
	}
	seen := map[uint32]bool{}
	for i, s := range m.Shards {
		element := fmt.Sprintf("%s.shards[%d]", field, i)
		if seen[s.Id] {
			c.src.Addf(element+".id", "%d is already used", s.Id)
		}
		seen[s.Id] = true
		c.shard(element, s, upstreams)
	}
}

func (c *checker) shard(field string, s *pb.Shard, upstreams firstUse) {
	if s.Documents == 0 || s.Documents > MaxDocuments {
		c.src.Addf(field+".documents", "must be from 1 to %g: it is the weight of the shard in coverage", float64(MaxDocuments))
	}
	if len(s.Replicas) == 0 || len(s.Replicas) > MaxReplicas {
		c.src.Addf(field+".replicas", "must name from 1 to %d upstreams", MaxReplicas)
	}
	seen := map[string]bool{}
	for i, r := range s.Replicas {
		element := fmt.Sprintf("%s.replicas[%d]", field, i)
		if _, ok := upstreams[r]; !ok {
			c.src.Addf(element, "%q is not an upstream of this service", r)
		}
		if seen[r] {
			c.src.Addf(element, "%q is named twice", r)
		}
		seen[r] = true
	}
}

func (c *checker) vm(field string, v *pb.VM) {
	if !namePattern.MatchString(v.Region) {
		c.src.Addf(field+".region", "must name a region")
	}
	if !namePattern.MatchString(v.DataCentre) {
		c.src.Addf(field+".data_centre", "must name a data centre")
	}
	if region, ok := c.regions[v.DataCentre]; ok && region != v.Region {
		c.src.Addf(field+".region", "data centre %q is in region %q already, not in %q", v.DataCentre, region, v.Region)
	} else {
		c.regions[v.DataCentre] = v.Region
	}
	if v.Rack != "" && !namePattern.MatchString(v.Rack) {
		c.src.Addf(field+".rack", "must name a rack or be left out")
	}
	c.address(c.vmAddresses, field+".caller_address", v.CallerAddress)
	c.address(c.vmAddresses, field+".peer_address", v.PeerAddress)
	if v.State == pb.VMState_VM_STATE_UNSPECIFIED {
		c.src.Addf(field+".state", "must be set to live or vm_leaving")
	}
}
