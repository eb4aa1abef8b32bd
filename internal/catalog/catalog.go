// Package catalog holds what one VM knows of the published configuration and of
// the upstreams, as of one position in the store's history. It is pure: what was read
// from the store or from a peer goes in with the time, and a View comes out.
//
// The state at a position is the same on every VM, so a VM that is behind may
// take a peer's state whole. Nothing ever goes back: an item is replaced only by
// a later position of itself, and a state only by one of a later position, unless it was
// never the store's and is discarded. Revisions alone order nothing: a store that comes
// back from an older copy gives them out again, in a later era.
package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/routing"
)

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
	// Evacuation items say that the upstreams of a data centre take no work while the item
	// is there. Their key alone counts, whatever their value holds.
	Evacuation
)

// Item is one published item as the store holds it.
type Item struct {
	Key string
	// Value is the published text.
	Value []byte
	// Era and Revision are the position of the item's last change.
	Era      uint64
	Revision uint64
	Created  uint64
	// Deleted items have no value.
	Deleted bool
}

// At is the position of the item's last change.
func (it Item) At() Position { return Position{Era: it.Era, Revision: it.Revision} }

// Decoder turns items into what they describe. It is a pure function of the
// item, so that all VMs agree on what is in force.
type Decoder interface {
	// Kind tells what the key holds.
	Kind(key string) Kind
	// Config decodes a configuration.
	Config(Item) (*routing.Config, error)
	// Upstream decodes a registration.
	Upstream(Item) (Upstream, error)
	// Evacuated is the data centre that an evacuation's key names.
	Evacuated(key string) (dataCentre string)
}

// Rejected is an item that could not be decoded, or a version of the configuration that is
// older than the one in force. Of a configuration the last good version stays in force; the
// entry of an upstream names none.
type Rejected struct {
	Key      string
	Revision uint64
	Err      error
	// Repeated says that the key's version before was rejected for the same reason.
	Repeated bool
}

// View is what is in force. It is immutable.
type View struct {
	// Epoch counts how often what was known had to be discarded; views of a later epoch
	// replace those of earlier ones, whatever their position.
	Epoch uint64
	// Era and Revision are the position in the store's history that the view shows.
	Era      uint64
	Revision uint64
	// Table is nil until a configuration is known.
	Table *routing.Table
	// Config is the configuration in force, nil as above.
	Config *routing.Config
	// Evacuated holds the data centres whose upstreams take no work.
	Evacuated map[string]bool
	// Services holds the upstreams of each service that take work, by ID.
	Services map[string][]*Upstream
	// Upstreams holds them all, the leaving ones included, by ID.
	Upstreams map[string]*Upstream
}

// Before tells whether another view is to replace this one.
func (v *View) Before(other *View) bool {
	if v.Epoch != other.Epoch {
		return v.Epoch < other.Epoch
	}
	return !other.position().Before(v.position())
}

func (v *View) position() Position { return Position{Era: v.Era, Revision: v.Revision} }

// TakesWork tells whether an upstream that was chosen may still be given work: one that has
// begun to leave since, or whose data centre is evacuated, may not. One that has started
// again counts as the same.
func (v *View) TakesWork(u *Upstream) bool {
	now := v.Upstreams[u.ID]
	return now != nil && v.takesWork(now)
}

func (v *View) takesWork(u *Upstream) bool { return !u.Leaving && !v.Evacuated[u.DataCentre] }

// State is the items known. It is not safe for concurrent use.
type State struct {
	decoder  Decoder
	epoch    uint64
	position Position
	items    map[string]Item
	// deletions holds the latest deletions of the era, lowest revision first; all above
	// deletionsFloor are in it.
	deletions      []Item
	deletionsFloor uint64
	// gaps are the revisions that listings have passed over, the latest last.
	gaps []Gap

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
	// evacuations are the keys of the evacuations under way.
	evacuations map[string]bool
	// doubtful are upstreams whose entries went missing around an outage, and evacuations
	// that a copy lacks, with the time at which they are given up.
	doubtful map[string]time.Time

	// deregistered are the upstreams that were gone when an era began, while its first
	// listing is taken in, with the time until which their entries in it are not used;
	// restored are these entries.
	deregistered map[string]time.Time
	restored     map[string]restoredEntry

	// starts holds the latest start that an upstream's entry has shown, by key.
	starts map[string]*latestStart

	lastAnswer time.Time
	// returned is when the last outage ended or the store came back from a copy.
	returned time.Time
	outage   bool
	rejected []Rejected
	// faults is what is wrong with the newest version of a key, in words.
	faults map[string]string
}

// New is an empty state.
func New(now time.Time, d Decoder) *State {
	return &State{
		decoder:     d,
		items:       map[string]Item{},
		upstreams:   map[string]*Upstream{},
		evacuations: map[string]bool{},
		doubtful:    map[string]time.Time{},
		restored:    map[string]restoredEntry{},
		starts:      map[string]*latestStart{},
		faults:      map[string]string{},
		lastAnswer:  now,
	}
}

// Position is the position in the store's history up to which everything is known.
func (s *State) Position() Position { return s.position }

// Revision is the revision of the position.
func (s *State) Revision() uint64 { return s.position.Revision }

// Bytes is the size of all values known.
func (s *State) Bytes() int {
	bytes := 0
	for _, it := range s.items {
		bytes += len(it.Value)
	}
	return bytes
}

// Discard forgets everything: it was not what the store holds.
func (s *State) Discard(now time.Time) {
	epoch := s.epoch + 1
	*s = *New(now, s.decoder)
	s.epoch = epoch
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

// Replace takes in a whole listing: items that are known at or below its position
// and not in it are gone, and are told to peers as deletions at that position. It is
// for listings of the store and for the states of peers. A listing older than what is
// known changes nothing.
func (s *State) Replace(now time.Time, at Position, items []Item) bool {
	if at.Before(s.position) {
		return false
	}
	copied := at.Era != s.position.Era
	if copied {
		s.beginEra(now)
	}
	// A peer's page may hold two versions of an item: the earlier one first.
	items = slices.SortedFunc(slices.Values(items), byPosition)
	listed := make(map[string]bool, len(items))
	changed := false
	for _, it := range items {
		listed[it.Key] = true
		changed = s.put(it) || changed
	}
	changed = s.settleConfig() || changed
	s.noteListing(at.Revision)
	for key, it := range s.items {
		if !listed[key] && !at.Before(it.At()) {
			changed = s.remove(now, key, copied) || changed
			s.keepDeletion(Item{Key: key, Era: at.Era, Revision: at.Revision, Deleted: true})
		}
	}
	s.position = at
	s.deregistered = nil
	return changed
}

// beginEra takes in that the store came back from an older copy. What it lost is written
// again, as after an outage, whether it was away for long or not.
func (s *State) beginEra(now time.Time) {
	s.deregistered = map[string]time.Time{}
	for _, it := range s.deletions {
		if _, back := s.items[it.Key]; !back && s.decoder.Kind(it.Key) == Registration {
			s.deregistered[it.Key] = now.Add(lapseAfter)
		}
	}
	s.forgetDeletions()
	if s.position.Revision > 0 {
		s.returned = now
	}
}

// Apply takes in the changes from one position to another. It refuses them (false) when
// they leave a gap, what is known ending before, or are of another era than what is known.
func (s *State) Apply(now time.Time, after, upTo Position, changes []Item) (changed, joined bool) {
	if upTo.Era != s.position.Era || s.position.Before(after) {
		return false, false
	}
	for _, it := range changes {
		if !s.position.Before(it.At()) {
			// Known already: one that is not held has been undone since, and taken in
			// from an answer that comes late it would never be undone again.
			continue
		}
		if !it.Deleted {
			changed = s.put(it) || changed
			continue
		}
		if held, ok := s.items[it.Key]; ok && held.At().Before(it.At()) {
			changed = s.remove(now, it.Key, false) || changed
		}
		s.keepDeletion(it)
	}
	changed = s.settleConfig() || changed
	if s.position.Before(upTo) {
		s.position = upTo
	}
	return changed, true
}

// InForce is the text of the configuration in force, the zero Document without one.
func (s *State) InForce() Document { return s.documents.newest() }

// Document is the text with a hash, in force now or lately; the zero Document when it is
// not kept.
func (s *State) Document(sum uint64) Document { return s.documents.find(sum) }

// put takes in one item; false when it changed nothing that is in force.
func (s *State) put(it Item) bool {
	if held, ok := s.items[it.Key]; ok && !held.At().Before(it.At()) {
		return false
	}
	s.items[it.Key] = it
	switch s.decoder.Kind(it.Key) {
	case Configuration:
		s.candidates = append(s.candidates, it)
		return false
	case Registration:
		return s.putUpstream(it)
	case Evacuation:
		delete(s.doubtful, it.Key)
		held := s.evacuations[it.Key]
		s.evacuations[it.Key] = true
		return !held
	default:
		return false
	}
}

// settleConfig puts the newest of the versions that came together in force, and an older
// one only where the newer are rejected, of each era in turn. Of a document that changes
// several times a second a reader gets some versions at once: decoding those that are over
// already would take a weak VM most of its time, and nobody would hold them to be sent
// changes against.
func (s *State) settleConfig() bool {
	slices.SortFunc(s.candidates, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Era, b.Era), byPosition(b, a))
	})
	taken := map[uint64]bool{}
	for _, it := range s.candidates {
		if !taken[it.Era] && s.putConfig(it) {
			taken[it.Era] = true
		}
	}
	s.candidates = nil
	return len(taken) > 0
}

// putConfig puts one version in force; false when it is older than that in force or is
// rejected. Until the operator has written again what the store lost, a later era begins
// with an older version: in force, it would take back what callers have been given.
func (s *State) putConfig(it Item) bool {
	if !s.configItem.At().Before(it.At()) {
		return false
	}
	c, err := s.decoder.Config(it)
	if err != nil {
		s.reject(it, err)
		return false
	}
	if s.config != nil && it.Era != s.configItem.Era && c.Version < s.config.Version {
		s.reject(it, fmt.Errorf("version %d, of a later era, is older than version %d, which stays in force", c.Version, s.config.Version))
		return false
	}
	delete(s.faults, it.Key)
	s.configItem = it
	s.documents.keep(it.Value)
	s.config = c
	s.table = routing.Compile(c)
	return true
}

func (s *State) reject(it Item, err error) {
	fault := err.Error()
	s.rejected = append(s.rejected, Rejected{Key: it.Key, Revision: it.Revision, Err: err, Repeated: s.faults[it.Key] == fault})
	s.faults[it.Key] = fault
}

// TakeRejected is the items rejected since the last call.
func (s *State) TakeRejected() []Rejected {
	r := s.rejected
	s.rejected = nil
	return r
}

// View is what is in force now.
func (s *State) View() *View {
	v := &View{
		Epoch:     s.epoch,
		Era:       s.position.Era,
		Revision:  s.position.Revision,
		Table:     s.table,
		Config:    s.config,
		Evacuated: map[string]bool{},
		Services:  map[string][]*Upstream{},
		Upstreams: make(map[string]*Upstream, len(s.upstreams)),
	}
	for key := range s.evacuations {
		v.Evacuated[s.decoder.Evacuated(key)] = true
	}
	for _, u := range s.upstreams {
		v.Upstreams[u.ID] = u
		if v.takesWork(u) {
			v.Services[u.Service] = append(v.Services[u.Service], u)
		}
	}
	for _, list := range v.Services {
		slices.SortFunc(list, func(a, b *Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	return v
}
