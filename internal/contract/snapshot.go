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

// Snapshot holds the contents of all accepted documents, indexed for look-up.
// It is immutable; readers keep using the one that they loaded.
type Snapshot struct {
	// Revision is the highest revision that the snapshot covers.
	Revision  uint64
	customers map[string]*Customer
	services  map[string]*Service
	upstreams map[string]*Upstream
	// tokens maps the SHA-256 of a token to its customer.
	tokens map[[sha256.Size]byte]tokenOwner
	vms    []*pb.VM
	// Conflicts describes names, addresses and tokens that two documents use and
	// services that no document defines.
	Conflicts []string
	// UndefinedServices is the subset of Conflicts about services that no document
	// defines.
	UndefinedServices []string
}

// tokenOwner is a token hash and the customer that it authenticates.
type tokenOwner struct {
	hash     [sha256.Size]byte
	customer *Customer
}

// Customer is a customer with its request kinds by name.
type Customer struct {
	Name  string
	Kinds map[string]*Kind
}

// Kind is one request kind of a customer. Service is nil while no accepted
// document defines it; requests of such a kind are refused.
type Kind struct {
	*pb.Kind
	Customer string
	Service  *Service
}

// Deadline is the contracted time limit of an answer.
func (k *Kind) Deadline() time.Duration {
	return time.Duration(k.DeadlineMs) * time.Millisecond
}

// SoftDeadline is the time after which an answer is sent as soon as its coverage
// reaches the floor; 0 disables early answers.
func (k *Kind) SoftDeadline() time.Duration {
	return time.Duration(k.SoftDeadlineMs) * time.Millisecond
}

// Service is a service with its shard maps.
type Service struct {
	Name string
	Path string
	// Maps is in ascending order of generation.
	Maps []*ShardMap
}

// ShardMap is one partition of the service's data.
type ShardMap struct {
	Generation uint32
	Versions   []uint64
	Shards     []*Shard
	// Documents is the number of documents in all shards.
	Documents uint64
}

// Shard is one shard of a service's data and the upstreams that hold it.
type Shard struct {
	ID        uint32
	Documents uint64
	Replicas  []*Upstream
}

// Upstream is one server of a service. ID has the form "service/id" and is
// unique over all services.
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

// Accepted is one document that passed Check.
type Accepted struct {
	Name     string
	Revision uint64
	Document *pb.Document
}

// Compile builds a snapshot of the accepted documents; it sorts docs by name.
// If two documents define the same name, the document that sorts first wins.
// Precedence by older revision would be unsafe: after an edit of the original,
// a forgotten copy would be the older one and replace it.
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

// addServices adds the services of a document and records upstreams that share
// an address as conflicts: the server at that address accepts its number of
// connections only once, not once per upstream.
func (s *Snapshot) addServices(d Accepted, addresses map[string]string) {
	for _, v := range d.Document.Services {
		if _, ok := s.services[v.Name]; ok {
			s.addDuplicate(d, "service", v.Name)
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
			s.addDuplicate(d, "VM", v.Id)
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
			s.addDuplicate(d, "customer", v.Name)
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
			s.UndefinedServices = append(s.UndefinedServices, text)
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

// addDuplicate records that an earlier document already defines the name.
func (s *Snapshot) addDuplicate(d Accepted, what, name string) {
	s.Conflicts = append(s.Conflicts, fmt.Sprintf("%s: %s %s is already defined by another document", d.Name, what, name))
}

// Authenticate returns the customer that a bearer token belongs to. It looks up
// only the hash of the token and compares the hashes in constant time, so that
// the timing reveals nothing about other customers' tokens.
func (s *Snapshot) Authenticate(token string) (*Customer, bool) {
	sum := sha256.Sum256([]byte(token))
	match, ok := s.tokens[sum]
	if !ok || subtle.ConstantTimeCompare(match.hash[:], sum[:]) != 1 {
		return nil, false
	}
	return match.customer, true
}

// Customer returns the customer with the given name.
func (s *Snapshot) Customer(name string) (*Customer, bool) {
	c, ok := s.customers[name]
	return c, ok
}

// Upstream returns the upstream with the given "service/id".
func (s *Snapshot) Upstream(id string) (*Upstream, bool) {
	u, ok := s.upstreams[id]
	return u, ok
}

// Customers returns all customers, sorted by name.
func (s *Snapshot) Customers() []*Customer {
	out := make([]*Customer, 0, len(s.customers))
	for _, c := range s.customers {
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Upstreams returns all upstreams, sorted by ID.
func (s *Snapshot) Upstreams() []*Upstream {
	out := make([]*Upstream, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		out = append(out, u)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// VMs returns the VMs of all accepted documents. The caller must not change the
// list.
func (s *Snapshot) VMs() []*pb.VM {
	return s.vms
}
