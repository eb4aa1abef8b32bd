// Package catalog holds what one VM knows of the published configuration and of
// the upstreams, as of one revision of the store. It is pure: what was read from
// the store or from a peer goes in with the time, and a View comes out.
//
// The state at a revision is the same on every VM, so a VM that is behind may
// take a peer's state whole. Nothing ever goes back: an item is replaced only by
// a later revision of itself, and a state only by one of a later revision.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/routing"
)

// returnGrace is how long upstreams that went missing during an outage of the
// store are kept after its return. Their entries lapse when they cannot renew
// them; those that live are back within about two seconds, and a tenth is added
// for the way of the news.
const returnGrace = 2200 * time.Millisecond

// outageAfter is how long the store must have given no answer for entries to be
// suspected of having lapsed: shorter than the three heartbeats after which an
// entry lapses, longer than one lost answer and its repetition.
const outageAfter = 1500 * time.Millisecond

// Upstream is one upstream's registration.
type Upstream struct {
	// ID names one start of the upstream: after a restart it is another one.
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Software is the version of its program.
	Software string
	// Slots is how many requests it runs at a time.
	Slots int
	// Leaving upstreams take no new work.
	Leaving bool
	// ColdFor is how long it said that it would still be slow.
	ColdFor time.Duration
	// Registered is the revision at which the entry first appeared.
	Registered uint64
}

// Kind tells what an item describes.
type Kind int

// Kinds of items.
const (
	// Other items are kept for peers and used for nothing.
	Other Kind = iota
	// Configuration items hold a routing.Config.
	Configuration
	// Registration items hold an Upstream.
	Registration
)

// Item is one published item as the store holds it.
type Item struct {
	Key string
	// Value is the published text.
	Value    []byte
	Revision uint64
	Created  uint64
	// Deleted items have no value.
	Deleted bool
}

// Decoder turns items into what they describe. It is a pure function of the
// item, so that all VMs agree on what is in force.
type Decoder interface {
	// Kind tells what the key holds.
	Kind(key string) Kind
	// Config decodes a configuration.
	Config(Item) (*routing.Config, error)
	// Upstream decodes a registration.
	Upstream(Item) (Upstream, error)
}

// Rejected is an item that could not be decoded: its last good revision stays in
// force.
type Rejected struct {
	Key      string
	Revision uint64
	Err      error
}

// View is what is in force. It is immutable.
type View struct {
	// Revision is the store's revision that the view shows.
	Revision uint64
	// Table is nil until a configuration is known.
	Table *routing.Table
	// Config is the configuration in force, nil as above.
	Config *routing.Config
	// Services holds the upstreams of each service that take work, by ID.
	Services map[string][]*Upstream
	// Upstreams holds them all, the leaving ones included, by ID.
	Upstreams map[string]*Upstream
}

// keptDeletions is how many deletions are kept for peers that are a little behind;
// one that is further behind takes everything. It is some hundred upstreams replaced
// within seconds; a deletion takes about 100 bytes.
const keptDeletions = 512

// State is the items known. It is not safe for concurrent use.
type State struct {
	decoder  Decoder
	revision uint64
	items    map[string]Item
	// deletions holds the latest deletions, lowest revision first; all above
	// deletionsFloor are in it.
	deletions      []Item
	deletionsFloor uint64

	// configItem is what the configuration in force was decoded from: not the newest
	// version while that one is rejected.
	configItem Item
	documents  documents
	// candidates are the versions of the configuration that came together, not yet
	// decoded.
	candidates []Item
	config     *routing.Config
	table      *routing.Table
	upstreams  map[string]*Upstream
	// doubtful are upstreams whose entries went missing around an outage, with
	// the time at which they are given up.
	doubtful map[string]time.Time

	lastAnswer time.Time
	returned   time.Time
	outage     bool
	rejected   []Rejected
}

// New is an empty state.
func New(now time.Time, d Decoder) *State {
	return &State{
		decoder:    d,
		items:      map[string]Item{},
		upstreams:  map[string]*Upstream{},
		doubtful:   map[string]time.Time{},
		lastAnswer: now,
	}
}

// Revision is the store's revision up to which everything is known.
func (s *State) Revision() uint64 { return s.revision }

// Bytes is the size of all values known.
func (s *State) Bytes() int {
	bytes := 0
	for _, it := range s.items {
		bytes += len(it.Value)
	}
	return bytes
}

// Answered notes an answer of the store; it may end an outage.
func (s *State) Answered(now time.Time) {
	if s.outage {
		s.outage = false
		s.returned = now
	}
	s.lastAnswer = now
}

// Failed notes that the store gave no answer.
func (s *State) Failed(now time.Time) {
	if now.Sub(s.lastAnswer) >= outageAfter {
		s.outage = true
	}
}

// Replace takes in a whole listing: items that are known at or below its
// revision and not in it are gone, and are told to peers as deletions at that revision. It is for listings of the store and for the
// states of peers. A listing older than what is known changes nothing.
func (s *State) Replace(now time.Time, revision uint64, items []Item) bool {
	if revision < s.revision {
		return false
	}
	listed := make(map[string]bool, len(items))
	changed := false
	for _, it := range items {
		listed[it.Key] = true
		changed = s.put(it) || changed
	}
	changed = s.settleConfig() || changed
	first := s.revision == 0
	for key, it := range s.items {
		if !listed[key] && it.Revision <= revision {
			changed = s.remove(now, key) || changed
			s.keepDeletion(Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	s.revision = revision
	if first {
		s.deletionsFloor = revision
	}
	return changed
}

// Apply takes in the changes above a revision. It refuses them (false) when they
// leave a gap: what is known ends below after.
func (s *State) Apply(now time.Time, after, revision uint64, changes []Item) (changed, joined bool) {
	if after > s.revision {
		return false, false
	}
	for _, it := range changes {
		if !it.Deleted {
			changed = s.put(it) || changed
			continue
		}
		if held, ok := s.items[it.Key]; ok && held.Revision < it.Revision {
			changed = s.remove(now, it.Key) || changed
		}
		s.keepDeletion(it)
	}
	changed = s.settleConfig() || changed
	s.revision = max(s.revision, revision)
	return changed, true
}

// keepDeletion keeps a deletion above what is known for peers.
func (s *State) keepDeletion(it Item) {
	if it.Revision <= s.revision {
		return
	}
	s.deletions = append(s.deletions, it)
	if over := len(s.deletions) - keptDeletions; over > 0 {
		s.deletionsFloor = s.deletions[over-1].Revision
		s.deletions = slices.Clone(s.deletions[over:])
	}
}

// Since is the changes above a revision, for a peer, lowest revision first; false when
// the deletions do not go back so far.
//
// Only the newest version of an item is in it. With every version since, a peer that
// falls behind while a large document changes gets a page that grows with its lag, over
// a link that was too slow for the last one: its pulls are given up one after the other
// and it never catches up. Of 70 VMs over links of 20 to 200 Mbit/s, with a document of
// 150 kB that changes eight times a second, none kept up for 5 s.
func (s *State) Since(after uint64) (changes []Item, ok bool) {
	if after < s.deletionsFloor {
		return nil, false
	}
	for _, it := range s.known() {
		if it.Revision > after {
			changes = append(changes, it)
		}
	}
	for _, it := range s.deletions {
		if it.Revision > after && s.items[it.Key].Revision < it.Revision {
			changes = append(changes, it)
		}
	}
	slices.SortFunc(changes, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes, true
}

// Page is what one VM gives another of what it knows.
type Page struct {
	// Revision is the store's revision that the page brings the receiver to.
	Revision uint64
	// After is the revision that the items join on to; a whole page joins on to any.
	After uint64
	// Whole says that the items are all that are known, and not changes.
	Whole bool
	Items []Item
}

// PageSince is the page for a peer that knows everything up to a revision: the
// changes above it, or all items when these are not known any more.
func (s *State) PageSince(after uint64) Page {
	page := Page{Revision: s.revision, After: after}
	changes, ok := s.Since(after)
	if ok && after > 0 {
		page.Items = changes
		return page
	}
	page.Whole = true
	_, page.Items = s.Items()
	return page
}

// InForce is the text of the configuration in force, the zero Document without one.
func (s *State) InForce() Document { return s.documents.newest() }

// Document is the text with a hash, in force now or lately; the zero Document when it is
// not kept.
func (s *State) Document(sum uint64) Document { return s.documents.find(sum) }

// put takes in one item; false when it changed nothing that is in force.
func (s *State) put(it Item) bool {
	if held, ok := s.items[it.Key]; ok && held.Revision >= it.Revision {
		return false
	}
	s.items[it.Key] = it
	switch s.decoder.Kind(it.Key) {
	case Configuration:
		s.candidates = append(s.candidates, it)
		return false
	case Registration:
		return s.putUpstream(it)
	default:
		return false
	}
}

// settleConfig puts the newest of the versions that came together in force, and an older
// one only where the newer are rejected. Of a document that changes several times a second
// a reader gets some versions at once: decoding those that are over already would take a
// weak VM most of its time, and nobody would hold them to be sent changes against.
func (s *State) settleConfig() bool {
	slices.SortFunc(s.candidates, func(a, b Item) int { return cmp.Compare(b.Revision, a.Revision) })
	changed := slices.ContainsFunc(s.candidates, s.putConfig)
	s.candidates = nil
	return changed
}

// putConfig puts one version in force; false when it is older than that in force or is
// rejected.
func (s *State) putConfig(it Item) bool {
	if it.Revision <= s.configItem.Revision {
		return false
	}
	c, err := s.decoder.Config(it)
	if err != nil {
		s.reject(it, err)
		return false
	}
	s.configItem = it
	s.documents.keep(it.Value)
	s.config = c
	s.table = routing.Compile(c)
	return true
}

func (s *State) putUpstream(it Item) bool {
	u, err := s.decoder.Upstream(it)
	if err != nil {
		s.reject(it, err)
		return false
	}
	delete(s.doubtful, it.Key)
	old := s.upstreams[it.Key]
	s.upstreams[it.Key] = &u
	return old == nil || *old != u
}

func (s *State) reject(it Item, err error) {
	s.rejected = append(s.rejected, Rejected{Key: it.Key, Revision: it.Revision, Err: err})
}

// TakeRejected is the items rejected since the last call.
func (s *State) TakeRejected() []Rejected {
	r := s.rejected
	s.rejected = nil
	return r
}

// remove takes an item out. A configuration is never taken back: an absent one
// would leave nothing to serve by.
//
// While the store is away, upstreams that live cannot renew their entries. Taken
// as gone, the whole fleet of upstreams would vanish at the store's return, and
// every request be refused until they have registered again.
func (s *State) remove(now time.Time, key string) bool {
	if s.decoder.Kind(key) == Configuration {
		return false
	}
	delete(s.items, key)
	if s.upstreams[key] == nil {
		return false
	}
	if s.outage || now.Sub(s.returned) < returnGrace && !s.returned.IsZero() {
		s.doubtful[key] = now.Add(returnGrace)
		return false
	}
	delete(s.upstreams, key)
	return true
}

// Tick gives up doubtful upstreams whose time is over; true when any was.
func (s *State) Tick(now time.Time) bool {
	if s.outage {
		return false
	}
	changed := false
	for key, until := range s.doubtful {
		if now.Before(until) || now.Sub(s.returned) < returnGrace {
			continue
		}
		delete(s.doubtful, key)
		delete(s.upstreams, key)
		changed = true
	}
	return changed
}

// known is the newest version of each item, and the configuration in force where the
// newest one was rejected: peers that missed it would go on by an older one.
func (s *State) known() []Item {
	items := make([]Item, 0, len(s.items)+1)
	for _, it := range s.items {
		items = append(items, it)
	}
	good := s.configItem
	if good.Key != "" && s.items[good.Key].Revision != good.Revision {
		items = append(items, good)
	}
	return items
}

// Items is everything known, for a peer, by key and revision.
func (s *State) Items() (revision uint64, items []Item) {
	items = s.known()
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(strings.Compare(a.Key, b.Key), cmp.Compare(a.Revision, b.Revision))
	})
	return s.revision, items
}

// View is what is in force now.
func (s *State) View() *View {
	v := &View{
		Revision:  s.revision,
		Table:     s.table,
		Config:    s.config,
		Services:  map[string][]*Upstream{},
		Upstreams: make(map[string]*Upstream, len(s.upstreams)),
	}
	for _, u := range s.upstreams {
		v.Upstreams[u.ID] = u
		if !u.Leaving {
			v.Services[u.Service] = append(v.Services[u.Service], u)
		}
	}
	for _, list := range v.Services {
		slices.SortFunc(list, func(a, b *Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	return v
}
