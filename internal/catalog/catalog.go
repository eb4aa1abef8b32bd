// Package catalog holds one VM's copy of the published configuration and the upstream
// registrations as of one position in the store's history. It performs no I/O: callers pass in
// what they read from the store or from a peer, together with the time, and get a View.
//
// The state at a position is the same on every VM, so a VM that is behind can copy a peer's
// state. State only moves forward: an item is replaced only by a later version of itself and a
// state only by one at a later position, except when a state turns out never to have existed in
// the store and is discarded. Revisions alone do not order changes: a store restored from an
// older copy issues the same revisions again, in a later era.
package catalog

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/routing"
)

// Kind is the type of an item.
type Kind int

const (
	// Other items are not interpreted, and not held.
	Other Kind = iota
	// Configuration items hold a routing.Config.
	Configuration
	// Registration items hold an Upstream.
	Registration
	// Evacuation items take the upstreams of a data centre out of service while the item
	// exists. Only the key matters; the value is ignored.
	Evacuation
)

// Item is one published item as the store holds it.
type Item struct {
	Key   string
	Value []byte
	// Era and Revision are the position of the last change, Created is the revision at which
	// the key first appeared.
	Era      uint64
	Revision uint64
	Created  uint64
	// Deleted marks a deletion, which has no value.
	Deleted bool
	// Fault is set if the value was left out because it cannot be decoded.
	Fault error
	// Abridged is set if the value was replaced by a shorter one that decodes alike.
	Abridged bool
}

// Position returns the position of the item's last change.
func (it Item) Position() Position { return Position{Era: it.Era, Revision: it.Revision} }

// supersededBy reports whether other replaces a held version: it is later, or the same one with the
// value that a peer withheld or that there was no room for.
func (it Item) supersededBy(other Item) bool {
	lacksValue := errors.Is(it.Fault, ErrWithheld) || errors.Is(it.Fault, errNoRoom)
	if lacksValue && other.Fault == nil && it.Position() == other.Position() {
		return true
	}
	return it.Position().Before(other.Position())
}

// Decoder interprets items. It must be a pure function of the item so that all VMs agree on
// what is in force.
type Decoder interface {
	// Kind returns the type of the item stored under a key.
	Kind(key string) Kind
	// Config decodes a configuration.
	Config(Item) (*routing.Config, error)
	// Upstream decodes a registration.
	Upstream(Item) (Upstream, error)
	// Evacuated returns the data centre that an evacuation's key names.
	Evacuated(key string) (dataCentre string)
}

// Rejected describes an item that could not be decoded, or a configuration whose version is
// older than the one in force. The last good configuration stays in force; an upstream whose
// entry is rejected is out of use.
type Rejected struct {
	Key      string
	Revision uint64
	Err      error
	// Repeated is set when the previous version of the key was rejected for the same reason.
	Repeated bool
}

// View is an immutable snapshot of what is in force.
type View struct {
	// Epoch counts how often the state was discarded. A view of a later epoch replaces those of
	// earlier epochs regardless of position.
	Epoch uint64
	// Era and Revision are the position in the store's history.
	Era      uint64
	Revision uint64
	// Table is the compiled configuration, nil until one is known.
	Table *routing.Table
	// Config is the configuration in force, nil until one is known.
	Config *routing.Config
	// Evacuated is the set of data centres whose upstreams take no work.
	Evacuated map[string]bool
	// Services lists the upstreams of each service that take work, sorted by ID.
	Services map[string][]*Upstream
	// Upstreams maps IDs to all upstreams, including those that are leaving.
	Upstreams map[string]*Upstream
}

// SupersededBy reports whether other is to replace this view: it has a later epoch, or the same epoch
// and at least the same position.
func (v *View) SupersededBy(other *View) bool {
	if v.Epoch != other.Epoch {
		return v.Epoch < other.Epoch
	}
	return !other.position().Before(v.position())
}

func (v *View) position() Position { return Position{Era: v.Era, Revision: v.Revision} }

// TakesWork reports whether an upstream selected from an earlier view may still receive work.
// It may not if it has started to leave or its data centre has been evacuated since. An
// upstream that has restarted counts as the same one.
func (v *View) TakesWork(u *Upstream) bool {
	now := v.Upstreams[u.ID]
	return now != nil && v.takesWork(now)
}

func (v *View) takesWork(u *Upstream) bool { return !u.Leaving && !v.Evacuated[u.DataCentre] }

// State holds the items known to one VM. It is not safe for concurrent use.
type State struct {
	decoder  Decoder
	epoch    uint64
	position Position
	// items holds what is in force or may be again. A registration that cannot be decoded is held,
	// without its value, only if earlier versions of it could be: otherwise it is the same as none.
	items map[string]Item
	// size is what items takes without configurations, and limit bounds it, both in bytes; 0 is no
	// limit.
	size, limit int
	// unread is the latest position of an item that this VM holds nothing of, or not all, because its
	// decoder does not read it. overflow is that of an item for which there was no room.
	unread, overflow Position
	// deletions holds the latest deletions of the era in order of revision. It is complete
	// above deletionsFloor.
	deletions      []Item
	deletionsFloor uint64
	// gaps are the revision ranges skipped by listings, the latest last.
	gaps []Gap

	// configItem is the item that the configuration in force was decoded from. It is not the
	// newest version if that one was rejected.
	configItem Item
	history    documentHistory
	// pendingConfigs are the versions of the configuration received in one batch that are not
	// yet decoded.
	pendingConfigs []Item
	config         *routing.Config
	table          *routing.Table
	upstreams      map[string]*Upstream
	// evacuations is the set of keys of active evacuations.
	evacuations map[string]bool
	// pendingRemovals maps keys to the time at which they are removed: upstreams whose entries
	// disappeared around an outage, and evacuations missing from a restored copy of the store.
	pendingRemovals map[string]time.Time

	// deregistered maps the upstreams that were gone when an era began to the time until which
	// their entries in its first listing are not used. It is set only while that listing is
	// applied. restored holds those entries.
	deregistered map[string]time.Time
	restored     map[string]restoredEntry

	// starts maps keys to the latest start that an upstream's entries have shown.
	starts map[string]*latestStart

	lastAnswerAt time.Time
	// recoveredAt is when the last outage ended or the store was restored from a copy.
	recoveredAt time.Time
	outage      bool
	rejected    []Rejected
	// unlisted counts rejected items beyond those in rejected.
	unlisted int
	// lastFaults maps a key to the error text of its newest version, if that was rejected.
	lastFaults map[string]string
}

// New returns an empty state.
func New(now time.Time, d Decoder) *State {
	return &State{
		decoder:         d,
		items:           map[string]Item{},
		upstreams:       map[string]*Upstream{},
		evacuations:     map[string]bool{},
		pendingRemovals: map[string]time.Time{},
		restored:        map[string]restoredEntry{},
		starts:          map[string]*latestStart{},
		lastFaults:      map[string]string{},
		lastAnswerAt:    now,
	}
}

// Position returns the position in the store's history up to which the state is complete.
func (s *State) Position() Position { return s.position }

// Revision returns the revision of Position.
func (s *State) Revision() uint64 { return s.position.Revision }

// Bytes returns the total size of all values.
func (s *State) Bytes() int {
	bytes := 0
	for _, it := range s.items {
		bytes += len(it.Value)
	}
	return bytes
}

// Discard resets the state to empty and starts a new epoch. It is called when the state turns
// out not to match the store's history.
func (s *State) Discard(now time.Time) {
	epoch, limit := s.epoch+1, s.limit
	*s = *New(now, s.decoder)
	s.epoch = epoch
	s.SetLimit(limit)
}

// StoreAnswered records a response of the store, which ends an outage.
func (s *State) StoreAnswered(now time.Time) {
	if s.outage {
		s.outage = false
		s.recoveredAt = now
	}
	s.lastAnswerAt = now
}

// StoreFailed records that a call to the store failed. An outage begins when the store has not
// responded for outageThreshold.
func (s *State) StoreFailed(now time.Time) {
	if now.Sub(s.lastAnswerAt) >= outageThreshold {
		s.outage = true
	}
}

// Replace applies a complete listing of the store or a complete state of a peer. Items at or
// below the listing's position that it lacks are removed, and recorded as deletions at that
// position for peers. A listing older than the state is ignored. It reports whether anything in
// force changed.
func (s *State) Replace(now time.Time, at Position, items []Item) bool {
	if at.Before(s.position) {
		return false
	}
	newEra := at.Era != s.position.Era
	if newEra {
		s.beginEra(now)
	}
	// A peer's page may hold two versions of an item; apply the earlier one first.
	items = slices.SortedFunc(slices.Values(items), byPosition)
	listed := make(map[string]bool, len(items))
	changed := false
	s.unread, s.overflow = Position{}, Position{}
	for _, it := range items {
		listed[it.Key] = true
		changed = s.putItem(it) || changed
	}
	changed = s.activateNewestConfig() || changed
	s.recordListing(at.Revision)
	for key, it := range s.items {
		if !listed[key] && !at.Before(it.Position()) {
			changed = s.removeItem(now, key, newEra) || changed
			s.recordDeletion(Item{Key: key, Era: at.Era, Revision: at.Revision, Deleted: true})
		}
	}
	s.position = at
	s.deregistered = nil
	if s.unread != (Position{}) {
		s.markUnread(at)
	}
	return changed
}

// beginEra starts the era of a store restored from an older copy. The writers write again what
// the copy lost, so the same grace period applies as after an outage, however short the store's
// absence was.
func (s *State) beginEra(now time.Time) {
	s.deregistered = map[string]time.Time{}
	for _, it := range s.deletions {
		if _, back := s.items[it.Key]; !back && s.decoder.Kind(it.Key) == Registration {
			s.deregistered[it.Key] = now.Add(restoredEntryDelay)
		}
	}
	s.resetDeletions()
	if s.position.Revision > 0 {
		s.recoveredAt = now
	}
}

// Apply applies the changes between two positions. It refuses them (applied is false) if they
// start above the current position or in another era than they end, which would leave a gap, or
// belong to another era than the state.
func (s *State) Apply(now time.Time, after, upTo Position, changes []Item) (changed, applied bool) {
	if upTo.Era != s.position.Era || upTo.Era != after.Era || s.position.Before(after) {
		return false, false
	}
	for _, it := range changes {
		if !s.position.Before(it.Position()) {
			// Already covered by the state. If the item is missing it has been deleted since;
			// applying this late change would revive it for good.
			continue
		}
		if !it.Deleted {
			changed = s.putItem(it) || changed
			continue
		}
		if held, ok := s.items[it.Key]; ok && held.Position().Before(it.Position()) {
			changed = s.removeItem(now, it.Key, false) || changed
		}
		s.recordDeletion(it)
	}
	changed = s.activateNewestConfig() || changed
	if s.position.Before(upTo) {
		s.position = upTo
	}
	return changed, true
}

// InForce returns the text of the configuration in force, or the zero Document if there is
// none.
func (s *State) InForce() Document { return s.history.latest() }

// Document returns the current or a recent configuration text by its hash, or the zero Document
// if it is no longer held.
func (s *State) Document(sum uint64) Document { return s.history.find(sum) }

// putItem applies one item and reports whether that changed anything in force. Configurations
// are queued for activateNewestConfig.
func (s *State) putItem(it Item) bool {
	if held, ok := s.items[it.Key]; ok && !held.supersededBy(it) {
		return false
	}
	switch s.decoder.Kind(it.Key) {
	case Configuration:
		s.hold(it)
		s.pendingConfigs = append(s.pendingConfigs, it)
		return false
	case Registration:
		return s.putUpstream(it)
	case Evacuation:
		return s.putEvacuation(it)
	default:
		s.markUnread(it.Position())
		return false
	}
}

// putEvacuation applies an evacuation and reports whether that changed anything in force.
func (s *State) putEvacuation(it Item) bool {
	it = withoutLongValue(it)
	if !s.fits(it) || len(s.evacuations) >= maxEvacuations && !s.evacuations[it.Key] {
		s.rejectForRoom(it)
		return false
	}
	s.hold(it)
	delete(s.pendingRemovals, it.Key)
	held := s.evacuations[it.Key]
	s.evacuations[it.Key] = true
	return !held
}

// PutConfiguration applies a configuration that was read alone, before the changes up to its revision
// are known. It reports whether it is put in force. One of another era is ignored, as the state has
// to be replaced first.
func (s *State) PutConfiguration(it Item) bool {
	if s.decoder.Kind(it.Key) != Configuration || it.Deleted || it.Era != s.position.Era {
		return false
	}
	s.putItem(it)
	return s.activateNewestConfig()
}

// activateNewestConfig puts the newest valid version of a batch in force, separately for each
// era. Versions older than a valid one are not decoded: when a document changes several times a
// second, a reader receives several versions at once, decoding the superseded ones would take
// most of a weak VM's time, and no peer would hold them as a base for deltas.
func (s *State) activateNewestConfig() bool {
	slices.SortFunc(s.pendingConfigs, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Era, b.Era), byPosition(b, a))
	})
	taken := map[uint64]bool{}
	for _, it := range s.pendingConfigs {
		if !taken[it.Era] && s.activateConfig(it) {
			taken[it.Era] = true
		}
	}
	s.pendingConfigs = nil
	return len(taken) > 0
}

// activateConfig puts one version in force. It returns false if the version is older than the
// one in force or is rejected. After a restore, a later era begins with an older version until
// the operator writes the lost one again; activating it would revoke routes that callers
// already use.
func (s *State) activateConfig(it Item) bool {
	if !s.configItem.Position().Before(it.Position()) {
		return false
	}
	c, err := s.decodeConfig(it)
	if err != nil {
		s.reject(it, err)
		s.markUnread(it.Position())
		if s.items[it.Key].Position() == it.Position() {
			s.hold(it.unreadable(err))
		}
		return false
	}
	if s.config != nil && it.Era != s.configItem.Era && c.Version < s.config.Version {
		s.reject(it, fmt.Errorf("version %d of a later era is older than version %d, which stays in force", c.Version, s.config.Version))
		return false
	}
	delete(s.lastFaults, it.Key)
	s.configItem = it
	s.history.add(it.Value)
	s.config = c
	s.table = routing.Compile(c)
	return true
}

// decodeConfig decodes a version of the configuration.
func (s *State) decodeConfig(it Item) (*routing.Config, error) {
	if it.Fault != nil {
		return nil, it.Fault
	}
	return s.decoder.Config(it)
}

// View returns a snapshot of what is in force.
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
