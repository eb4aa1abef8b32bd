package catalog

import (
	"errors"
	"time"
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

// lapseAfter is how long the entry that a copy of the store has of an upstream that was gone
// is not used: longer than the three heartbeats after which an entry lapses.
const lapseAfter = 5 * time.Second

// errNoBirth is the fault of an entry that does not say when its upstream started, where
// earlier ones did: an upstream always does or never.
var errNoBirth = errors.New("does not say when the upstream started, as it did before")

// latestStart is the latest start that an upstream's entry has shown.
type latestStart struct {
	item    Item
	born    time.Time
	leaving bool
	// void is a later entry that could not be read, nil without one: the upstream is then
	// not in use.
	void *Item
}

// restoredEntry is an entry that a copy of the store has of an upstream that was gone. It is
// not used until a time, by which it has lapsed if the upstream does not live.
type restoredEntry struct {
	item  Item
	until time.Time
}

// wasLeaving tells whether the same start of an upstream was leaving in the era before an
// entry's, by which it is not.
func (l *latestStart) wasLeaving(it Item, u *Upstream) bool {
	return l.leaving && !u.Leaving && l.item.Era < it.Era && !u.Born.After(l.born)
}

// putUpstream takes in an entry. One that cannot be read is some other writer's and names
// no upstream: the address it had may be another service's by now. One of an earlier start
// was under way while the upstream started again, and changes nothing. Neither does one that
// takes back, in a later era, that the upstream is leaving: the store's copy is older.
func (s *State) putUpstream(it Item) bool {
	if until, gone := s.deregistered[it.Key]; gone {
		s.restored[it.Key] = restoredEntry{item: it, until: until}
		return false
	}
	delete(s.restored, it.Key)
	u, err := s.decoder.Upstream(it)
	latest := s.starts[it.Key]
	if err == nil && latest != nil && u.Born.IsZero() && !latest.born.IsZero() {
		err = errNoBirth
	}
	if err != nil {
		s.reject(it, err)
		if latest != nil {
			latest.void = &it
		}
		return s.drop(it.Key)
	}
	delete(s.faults, it.Key)
	if latest != nil && (latest.born.After(u.Born) || latest.wasLeaving(it, &u)) {
		return false
	}
	delete(s.doubtful, it.Key)
	old := s.upstreams[it.Key]
	s.starts[it.Key] = &latestStart{item: it, born: u.Born, leaving: u.Leaving}
	s.upstreams[it.Key] = &u
	return old == nil || *old != u
}

// drop takes an upstream out of use at once.
func (s *State) drop(key string) bool {
	_, held := s.upstreams[key]
	delete(s.upstreams, key)
	delete(s.doubtful, key)
	return held
}

// remove takes an item out; copied says that the store came back from a copy that lacks
// it. A configuration is never taken back: an absent one would leave nothing to serve by.
//
// While the store is away, upstreams that live cannot renew their entries. Taken
// as gone, the whole fleet of upstreams would vanish at the store's return, and
// every request be refused until they have registered again.
func (s *State) remove(now time.Time, key string, copied bool) bool {
	kind := s.decoder.Kind(key)
	if kind == Configuration {
		return false
	}
	delete(s.items, key)
	if kind == Evacuation && copied {
		s.doubtful[key] = now.Add(returnGrace)
		return false
	}
	if kind == Evacuation {
		return s.endEvacuation(key)
	}
	delete(s.faults, key)
	delete(s.starts, key)
	delete(s.restored, key)
	if s.upstreams[key] == nil {
		return false
	}
	if s.outage || now.Sub(s.returned) < returnGrace && !s.returned.IsZero() {
		s.doubtful[key] = now.Add(returnGrace)
		return false
	}
	return s.drop(key)
}

// endEvacuation lets the upstreams of a data centre take work again.
func (s *State) endEvacuation(key string) bool {
	held := s.evacuations[key]
	delete(s.evacuations, key)
	delete(s.doubtful, key)
	return held
}

// Tick gives up doubtful upstreams and evacuations whose time is over, and takes in entries
// that have not lapsed; true when that changed anything.
func (s *State) Tick(now time.Time) bool {
	if s.outage {
		return false
	}
	changed := s.takeRestored(now)
	for key, until := range s.doubtful {
		if now.Before(until) || now.Sub(s.returned) < returnGrace {
			continue
		}
		if s.evacuations[key] {
			changed = s.endEvacuation(key) || changed
			continue
		}
		changed = s.drop(key) || changed
	}
	return changed
}

// takeRestored takes in the entries of a copy that have not lapsed in time.
func (s *State) takeRestored(now time.Time) bool {
	changed := false
	for key, r := range s.restored {
		if now.Before(r.until) {
			continue
		}
		delete(s.restored, key)
		changed = s.putUpstream(r.item) || changed
	}
	return changed
}
