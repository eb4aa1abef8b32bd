package catalog

import (
	"errors"
	"time"
)

// recoveryGrace is how long upstreams that disappeared during an outage of the store are
// retained after its recovery. Their entries expire because they cannot renew them. Live
// upstreams register again within about two seconds; a tenth is added for propagation.
const recoveryGrace = 2200 * time.Millisecond

// outageThreshold is how long the store must have been silent before missing entries are
// attributed to an outage. It is shorter than the three heartbeats after which an entry expires
// and longer than one lost response and its retry.
const outageThreshold = 1500 * time.Millisecond

// restoredEntryDelay is how long a restored copy's entry for a deregistered upstream is not
// used. It is longer than the three heartbeats after which an entry expires.
const restoredEntryDelay = 5 * time.Second

// errNoStartTime rejects an entry without a start time where earlier entries had one. An
// upstream reports its start time either always or never.
var errNoStartTime = errors.New("start time is missing, but earlier entries had one")

// latestStart is the latest start of an upstream seen in its entries.
type latestStart struct {
	item      Item
	startedAt time.Time
	leaving   bool
	// unreadable is a later entry that could not be decoded, nil if there is none. While it is
	// set the upstream is out of use.
	unreadable *Item
}

// restoredEntry is an entry for a deregistered upstream found in a restored copy of the store.
// It is not used until the given time; by then it has expired unless the upstream is alive.
type restoredEntry struct {
	item  Item
	until time.Time
}

// leavingRevoked reports whether an entry of a later era shows as not leaving the same start of
// an upstream that was leaving before.
func (l *latestStart) leavingRevoked(it Item, u *Upstream) bool {
	return l.leaving && !u.Leaving && l.item.Era < it.Era && !u.StartedAt.After(l.startedAt)
}

// putUpstream applies a registration. An entry that cannot be decoded comes from another writer
// and takes the upstream out of use, because its former address may belong to another service
// by now. An entry of an earlier start was in transit while the upstream restarted and is
// ignored. So is an entry of a later era in which a leaving upstream is not leaving: the
// store's copy is older.
func (s *State) putUpstream(it Item) bool {
	if until, gone := s.deregistered[it.Key]; gone {
		it = reduce(s.decoder, it)
		if !s.fits(it) {
			s.rejectForRoom(it)
			return false
		}
		s.hold(it)
		s.restored[it.Key] = restoredEntry{item: it, until: until}
		return false
	}
	delete(s.restored, it.Key)
	it = compact(s.decoder, it)
	u, err := s.decodeUpstream(it)
	if err != nil {
		s.reject(it, err)
		s.markUnread(it.Position())
		return s.putUnusable(it, err)
	}
	if !s.fits(it) {
		s.rejectForRoom(it)
		return s.putUnusable(it, errNoRoom)
	}
	if it.Abridged {
		s.markUnread(it.Position())
	}
	s.hold(it)
	latest := s.starts[it.Key]
	delete(s.lastFaults, it.Key)
	if latest != nil && (latest.startedAt.After(u.StartedAt) || latest.leavingRevoked(it, &u)) {
		return false
	}
	delete(s.pendingRemovals, it.Key)
	old := s.upstreams[it.Key]
	s.starts[it.Key] = &latestStart{item: it, startedAt: u.StartedAt, leaving: u.Leaving}
	s.upstreams[it.Key] = &u
	return old == nil || *old != u
}

// decodeUpstream decodes a registration and checks it against earlier ones of the same key.
func (s *State) decodeUpstream(it Item) (Upstream, error) {
	if it.Fault != nil {
		return Upstream{}, it.Fault
	}
	u, err := s.decoder.Upstream(it)
	latest := s.starts[it.Key]
	if err == nil && latest != nil && u.StartedAt.IsZero() && !latest.startedAt.IsZero() {
		err = errNoStartTime
	}
	return u, err
}

// putUnusable applies a registration that names no usable upstream. If earlier ones of the key did,
// it is held without its value, so that peers which missed it take the upstream out of use as well.
func (s *State) putUnusable(it Item, fault error) bool {
	latest := s.starts[it.Key]
	_, held := s.items[it.Key]
	if !held && latest == nil && s.upstreams[it.Key] == nil {
		return false
	}
	it = it.unreadable(fault)
	s.hold(it)
	if latest != nil {
		latest.unreadable = &it
	}
	return s.dropUpstream(it.Key)
}

// dropUpstream takes an upstream out of use immediately.
func (s *State) dropUpstream(key string) bool {
	_, held := s.upstreams[key]
	delete(s.upstreams, key)
	delete(s.pendingRemovals, key)
	return held
}

// removeItem removes an item; newEra is set if the first listing of a new era lacks it. A
// configuration is never removed, because the VM could not serve without one.
//
// Live upstreams cannot renew their entries during an outage of the store. If these were
// removed immediately, all upstreams would disappear when the store recovers and every request
// would be refused until they have registered again.
func (s *State) removeItem(now time.Time, key string, newEra bool) bool {
	kind := s.decoder.Kind(key)
	if kind == Configuration {
		return false
	}
	s.release(key)
	if kind == Evacuation && newEra {
		s.pendingRemovals[key] = now.Add(recoveryGrace)
		return false
	}
	if kind == Evacuation {
		return s.endEvacuation(key)
	}
	delete(s.lastFaults, key)
	delete(s.starts, key)
	delete(s.restored, key)
	if s.upstreams[key] == nil {
		return false
	}
	if s.outage || now.Sub(s.recoveredAt) < recoveryGrace && !s.recoveredAt.IsZero() {
		s.pendingRemovals[key] = now.Add(recoveryGrace)
		return false
	}
	return s.dropUpstream(key)
}

// endEvacuation returns the upstreams of a data centre to service.
func (s *State) endEvacuation(key string) bool {
	held := s.evacuations[key]
	delete(s.evacuations, key)
	delete(s.pendingRemovals, key)
	return held
}

// Tick removes the upstreams and evacuations whose grace period has ended and applies restored
// entries that have not expired. It reports whether anything in force changed.
func (s *State) Tick(now time.Time) bool {
	if s.outage {
		return false
	}
	changed := s.applyRestored(now)
	for key, until := range s.pendingRemovals {
		if now.Before(until) || now.Sub(s.recoveredAt) < recoveryGrace {
			continue
		}
		if s.evacuations[key] {
			changed = s.endEvacuation(key) || changed
			continue
		}
		changed = s.dropUpstream(key) || changed
	}
	return changed
}

// applyRestored applies the entries of a restored copy whose delay has ended.
func (s *State) applyRestored(now time.Time) bool {
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
