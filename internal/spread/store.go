package spread

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/catalogsync"
)

const (
	// Mbit is bytes a second.
	Mbit = 1e6 / 8
	// storeLink is bytes a second that the store can send.
	storeLink = 1000 * Mbit
	// storeText is how much longer values are in the store's answers than in pages.
	storeText = 4.0 / 3
	// watchSlack and listPatience are after which the store's client gives up an
	// answer: a watch's beyond its wait, and one page of a listing.
	watchSlack   = 600 * time.Millisecond
	listPatience = 1200 * time.Millisecond
	// versionBytes is how long the version at the beginning of a document is.
	versionBytes = 8
)

// store is the platform's store.
type store struct {
	link link
	// at and since are the last position and when each came; written holds all versions of
	// the era, lowest revision first. restored is the position that the era began with.
	at       catalog.Position
	restored catalog.Position
	since    map[catalog.Position]time.Time
	written  []catalog.Item
	// evacuated holds the evacuations that have begun and not ended.
	evacuated map[string]catalog.Item
	// version is that of the last document, which no copy takes back.
	version uint64
	// former is what answers that may be stale show, nil for what the store holds.
	former *store
	// refuses says that every call is refused at once.
	refuses bool
}

func newStore() store {
	at := catalog.Position{Era: 1, Revision: 1}
	first := catalog.Item{Key: documentKey, Value: []byte("x"), Era: at.Era, Revision: at.Revision}
	return store{link: link{up: storeLink, down: storeLink}, at: at, restored: at, since: map[catalog.Position]time.Time{}, evacuated: map[string]catalog.Item{}, written: []catalog.Item{first}}
}

// rise goes on to the next revision.
func (s *store) rise(now time.Time) {
	s.at.Revision++
	s.since[s.at] = now
}

// next is when the first change came that a position lacks; false when it lacks none.
func (s *store) next(known catalog.Position) (time.Time, bool) {
	if known.Era < s.at.Era {
		known = s.restored
	}
	known.Revision++
	at, ok := s.since[known]
	return at, ok
}

// write replaces the document by its next version, of some bytes.
func (s *store) write(now time.Time, bytes int) {
	s.rise(now)
	text := make([]byte, max(bytes, versionBytes))
	s.version++
	binary.LittleEndian.PutUint64(text, s.version)
	s.written = append(s.written, catalog.Item{Key: documentKey, Value: text, Era: s.at.Era, Revision: s.at.Revision})
}

// evacuate begins or ends the evacuation of a data centre.
func (s *store) evacuate(now time.Time, dataCentre string, begins bool) {
	s.rise(now)
	it := catalog.Item{Key: evacuationPrefix + dataCentre, Era: s.at.Era, Revision: s.at.Revision, Deleted: !begins}
	if begins {
		it.Value = []byte("{}")
		s.evacuated[it.Key] = it
	} else {
		delete(s.evacuated, it.Key)
	}
	s.written = append(s.written, it)
}

// newest is the items that are there: the document and the evacuations.
func (s *store) newest() []catalog.Item {
	var out []catalog.Item
	for _, key := range slices.Sorted(maps.Keys(s.evacuated)) {
		out = append(out, s.evacuated[key])
	}
	for i := len(s.written) - 1; i >= 0; i-- {
		if s.written[i].Key == documentKey {
			return append(out, s.written[i])
		}
	}
	return out
}

func (s *store) above(revision uint64) []catalog.Item {
	for i, it := range s.written {
		if it.Revision > revision {
			return s.written[i:]
		}
	}
	return nil
}

// copy is what the store holds now.
func (s *store) copy() store {
	c := *s
	c.since, c.evacuated, c.written = maps.Clone(s.since), maps.Clone(s.evacuated), slices.Clone(s.written)
	return c
}

// restore lets the store come back from a copy, in the next era.
func (s *store) restore(c store) {
	c = c.copy()
	s.at = catalog.Position{Era: s.at.Era + 1, Revision: c.at.Revision}
	s.restored = s.at
	s.since, s.evacuated, s.written = c.since, c.evacuated, c.written
	for i := range s.written {
		s.written[i].Era = s.at.Era
	}
	for key, it := range s.evacuated {
		it.Era = s.at.Era
		s.evacuated[key] = it
	}
}

// showFormer is what the store held in the former era, told as of the present one.
func (s *store) showFormer() (catalog.Position, []catalog.Item) {
	at := catalog.Position{Era: s.at.Era, Revision: s.former.at.Revision}
	items := s.former.newest()
	for i := range items {
		items[i].Era = at.Era
	}
	return at, items
}

// list answers with the newest version.
func (fl *Fleet) list(v *vm, stale bool) {
	give := v.f.Listed
	if stale {
		give = v.f.ListedStale
		fl.traffic.StaleCalls++
	} else {
		fl.traffic.StoreCalls++
	}
	fail := func() []catalogsync.Action { return v.f.ReadFailed(fl.now, false) }
	if fl.store.refuses {
		fl.later(v, 2*hop, fail)
		return
	}
	if v.cut {
		fl.later(v, listPatience, fail)
		return
	}
	at, items := fl.store.at, fl.store.newest()
	if stale && fl.store.former != nil {
		at, items = fl.store.showFormer()
	}
	fl.fromStore(v, items, listPatience, func() []catalogsync.Action { return give(fl.now, at, items) }, fail)
}

// watch answers when the store has moved on or the wait is over.
func (fl *Fleet) watch(v *vm, w catalogsync.Watch, until time.Time) {
	fail := func() []catalogsync.Action { return v.f.ReadFailed(fl.now, false) }
	fl.later(v, hop, func() []catalogsync.Action {
		switch {
		case fl.store.refuses:
			return fail()
		case v.cut && fl.now.Before(until.Add(watchSlack)), !v.cut && fl.store.at.Revision == w.After.Revision && fl.now.Before(until):
			fl.watch(v, w, until)
			return nil
		case v.cut:
			return fail()
		case fl.store.at.Revision < w.After.Revision:
			return v.f.ReadFailed(fl.now, true)
		case fl.store.at.Revision == w.After.Revision:
			return v.f.Watched(fl.now, w.After, fl.store.at, nil)
		}
		at, changes := fl.store.at, fl.store.above(w.After.Revision)
		patience := until.Add(watchSlack).Sub(fl.now)
		fl.fromStore(v, changes, patience, func() []catalogsync.Action { return v.f.Watched(fl.now, w.After, at, changes) }, fail)
		return nil
	})
}

// fromStore begins an answer of the store.
func (fl *Fleet) fromStore(v *vm, items []catalog.Item, patience time.Duration, give, fail func() []catalogsync.Action) {
	size := overhead + storeText*sizeOf(items)
	fl.traffic.StoreBytes += size
	fl.send(&fl.store.link, v, size, patience, give, fail)
}
