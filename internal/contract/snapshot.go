package contract

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"sort"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Snapshot is every accepted document compiled for look-up. It is immutable;
// readers keep the one they started with.
type Snapshot struct {
	// Revision is the highest revision taken in.
	Revision  uint64
	customers map[string]*Customer
	services  map[string]*Service
	upstreams map[string]*Upstream
	// tokens finds a customer by the SHA-256 of its token.
	tokens map[[sha256.Size]byte]tokenOwner
	vms    []*pb.VM
	// Conflicts tells of names that two documents claim and of services that
	// no document defines.
	Conflicts []string
	// Undefined is those conflicts that name a service which no document defines.
	Undefined []string
}

// tokenOwner is the customer that a token hash lets in.
type tokenOwner struct {
	hash     [sha256.Size]byte
	customer *Customer
}

// Customer is one contract in force.
type Customer struct {
	Name  string
	Kinds map[string]*Kind
}

// Kind is one request kind in force. Service is nil while no accepted document
// defines it; such a kind is refused.
type Kind struct {
	*pb.Kind
	Customer string
	Service  *Service
}

// Deadline is the contracted time of a whole answer.
func (k *Kind) Deadline() time.Duration {
	return time.Duration(k.DeadlineMs) * time.Millisecond
}

// SoftDeadline is when an answer at the coverage floor is given; 0 means never.
func (k *Kind) SoftDeadline() time.Duration {
	return time.Duration(k.SoftDeadlineMs) * time.Millisecond
}

// Service is one service in force.
type Service struct {
	Name string
	Path string
	// Maps is ascending by generation.
	Maps []*ShardMap
}

// ShardMap is one partition of the service's data.
type ShardMap struct {
	Generation uint32
	Versions   []uint64
	Shards     []*Shard
	// Documents is the sum over the shards.
	Documents uint64
}

// Shard is one part of the data with its replicas.
type Shard struct {
	ID        uint32
	Documents uint64
	Replicas  []*Upstream
}

// Upstream is one server in force. IDs are unique over all services as
// "service/id".
type Upstream struct {
	ID          string
	Service     string
	Path        string
	Address     string
	DataCentre  string
	Slots       int
	Connections int
	Leaving     bool
}

// Accepted is one document that passed the check.
type Accepted struct {
	Name     string
	Revision uint64
	Document *pb.Document
}

// Compile builds a snapshot. Where two documents claim one name, the first by
// document name keeps it. Were it the older revision, an edit of one document
// would hand its customer over to a forgotten copy in another.
func Compile(revision uint64, docs []Accepted) *Snapshot {
	s := &Snapshot{
		Revision:  revision,
		customers: map[string]*Customer{},
		services:  map[string]*Service{},
		upstreams: map[string]*Upstream{},
		tokens:    map[[sha256.Size]byte]tokenOwner{},
	}
	sort.Slice(docs, func(i, j int) bool { return docs[i].Name < docs[j].Name })
	addresses, vms := map[string]string{}, map[string]bool{}
	for _, d := range docs {
		s.addServices(d, addresses)
		s.addVMs(d, vms)
	}
	for _, d := range docs {
		s.addCustomers(d)
	}
	return s
}

// addServices also tells of upstreams that share an address: the server there
// accepts its connections once, not once for each.
func (s *Snapshot) addServices(d Accepted, addresses map[string]string) {
	for _, v := range d.Document.Services {
		if _, ok := s.services[v.Name]; ok {
			s.conflict(d, "service", v.Name)
			continue
		}
		s.services[v.Name] = s.service(v)
		for _, u := range v.Upstreams {
			id := v.Name + "/" + u.Id
			if first, ok := addresses[u.Address]; ok {
				s.Conflicts = append(s.Conflicts, fmt.Sprintf("%s: upstream %s has the address %s of %s", d.Name, id, u.Address, first))
				continue
			}
			addresses[u.Address] = id
		}
	}
}

func (s *Snapshot) addVMs(d Accepted, seen map[string]bool) {
	for _, v := range d.Document.Vms {
		if seen[v.Id] {
			s.conflict(d, "VM", v.Id)
			continue
		}
		seen[v.Id] = true
		s.vms = append(s.vms, v)
	}
}

func (s *Snapshot) service(v *pb.Service) *Service {
	local := make(map[string]*Upstream, len(v.Upstreams))
	for _, u := range v.Upstreams {
		up := &Upstream{
			ID:          v.Name + "/" + u.Id,
			Service:     v.Name,
			Path:        v.Path,
			Address:     u.Address,
			DataCentre:  u.DataCentre,
			Slots:       int(u.Slots),
			Connections: int(u.Connections),
			Leaving:     u.Leaving,
		}
		local[u.Id] = up
		s.upstreams[up.ID] = up
	}
	svc := &Service{Name: v.Name, Path: v.Path}
	for _, m := range v.Maps {
		svc.Maps = append(svc.Maps, shardMap(m, local))
	}
	sort.Slice(svc.Maps, func(i, j int) bool { return svc.Maps[i].Generation < svc.Maps[j].Generation })
	return svc
}

func shardMap(m *pb.ShardMap, upstreams map[string]*Upstream) *ShardMap {
	out := &ShardMap{Generation: m.Generation, Versions: m.Versions}
	for _, sh := range m.Shards {
		shard := &Shard{ID: sh.Id, Documents: sh.Documents}
		for _, r := range sh.Replicas {
			shard.Replicas = append(shard.Replicas, upstreams[r])
		}
		out.Shards = append(out.Shards, shard)
		out.Documents += sh.Documents
	}
	return out
}

func (s *Snapshot) addCustomers(d Accepted) {
	for _, v := range d.Document.Customers {
		if _, ok := s.customers[v.Name]; ok {
			s.conflict(d, "customer", v.Name)
			continue
		}
		s.addCustomer(d, v)
	}
}

func (s *Snapshot) addCustomer(d Accepted, v *pb.Customer) {
	c := &Customer{Name: v.Name, Kinds: map[string]*Kind{}}
	for _, k := range v.Kinds {
		svc := s.services[k.Service]
		if svc == nil {
			text := fmt.Sprintf("%s: customer %s, kind %s: service %s is not defined", d.Name, v.Name, k.Name, k.Service)
			s.Conflicts = append(s.Conflicts, text)
			s.Undefined = append(s.Undefined, text)
		}
		c.Kinds[k.Name] = &Kind{Kind: k, Customer: v.Name, Service: svc}
	}
	s.customers[v.Name] = c
	for _, h := range v.TokenSha256 {
		var sum [sha256.Size]byte
		if _, err := hex.Decode(sum[:], []byte(h)); err != nil {
			continue
		}
		if _, ok := s.tokens[sum]; ok {
			s.Conflicts = append(s.Conflicts, fmt.Sprintf("%s: customer %s: a token hash is already used by another customer", d.Name, v.Name))
			continue
		}
		s.tokens[sum] = tokenOwner{hash: sum, customer: c}
	}
}

func (s *Snapshot) conflict(d Accepted, what, name string) {
	s.Conflicts = append(s.Conflicts, fmt.Sprintf("%s: %s %s is already defined by another document", d.Name, what, name))
}

// Authenticate finds the customer a bearer token belongs to. Only the hash of
// the token is looked up, and the match is confirmed in constant time, so that
// timing tells a caller nothing about the tokens of others.
func (s *Snapshot) Authenticate(token string) (*Customer, bool) {
	sum := sha256.Sum256([]byte(token))
	match, ok := s.tokens[sum]
	if !ok || subtle.ConstantTimeCompare(match.hash[:], sum[:]) != 1 {
		return nil, false
	}
	return match.customer, true
}

// Customer finds a customer by name.
func (s *Snapshot) Customer(name string) (*Customer, bool) {
	c, ok := s.customers[name]
	return c, ok
}

// Upstream finds an upstream by "service/id".
func (s *Snapshot) Upstream(id string) (*Upstream, bool) {
	u, ok := s.upstreams[id]
	return u, ok
}

// Customers is every customer by name.
func (s *Snapshot) Customers() []*Customer {
	out := make([]*Customer, 0, len(s.customers))
	for _, c := range s.customers {
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Upstreams is every upstream by id.
func (s *Snapshot) Upstreams() []*Upstream {
	out := make([]*Upstream, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		out = append(out, u)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// VMs is the platform's list as last accepted.
func (s *Snapshot) VMs() []*pb.VM {
	return s.vms
}
