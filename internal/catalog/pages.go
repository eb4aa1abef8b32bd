package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// maxDeletions is how many deletions are held for peers that are slightly behind; a peer
// further behind receives the whole state. The limit covers about a hundred upstreams replaced
// within seconds. A deletion takes about 100 bytes.
const maxDeletions = 512

// maxGaps is how many gaps are held, enough for several seconds of consecutive listings.
const maxGaps = 32

// Gap is a range of revisions skipped by a listing: items created and deleted within it are
// unknown.
type Gap struct{ From, To uint64 }

// recordListing records that a listing advances the state to a revision. The listing omits
// items written and deleted since the previous revision, so a peer that holds such an item
// would not learn of its deletion.
func (s *State) recordListing(to uint64) {
	if s.deletionsFloor == 0 {
		s.deletionsFloor = to
		return
	}
	s.addGaps([]Gap{{From: s.position.Revision, To: to}})
}

// addGaps records gaps of this VM's listings, or gaps that a peer's changes depend on.
func (s *State) addGaps(gaps []Gap) {
	s.gaps = append(s.gaps, gaps...)
	if over := len(s.gaps) - maxGaps; over > 0 {
		s.deletionsFloor = max(s.deletionsFloor, s.gaps[over-1].To)
		s.gaps = slices.Clone(s.gaps[over:])
	}
}

// gapsAfter returns the gaps that changes after a revision depend on.
func (s *State) gapsAfter(revision uint64) []Gap {
	var out []Gap
	for _, g := range s.gaps {
		if g.From >= revision {
			out = append(out, g)
		}
	}
	return out
}

// resetDeletions drops the deletions of a finished era, which are of no use to peers in the
// next one.
func (s *State) resetDeletions() { s.deletions, s.deletionsFloor, s.gaps = nil, 0, nil }

// deletionsCompleteAfter reports whether all deletions after a revision are known.
func (s *State) deletionsCompleteAfter(revision uint64) bool {
	inside := func(g Gap) bool { return g.From < revision && revision < g.To }
	return revision >= s.deletionsFloor && !slices.ContainsFunc(s.gaps, inside)
}

// recordDeletion stores a deletion for peers.
func (s *State) recordDeletion(it Item) {
	s.deletions = append(s.deletions, it)
	if over := len(s.deletions) - maxDeletions; over > 0 {
		s.deletionsFloor = s.deletions[over-1].Revision
		s.deletions = slices.Clone(s.deletions[over:])
	}
}

// ChangesSince returns the changes after a position in order of position, for a peer. It
// returns false if not all deletions after the position are known, or the position is of
// another era.
//
// Only the newest version of each item is included. With every version, a peer that falls
// behind while a large document changes would get pages that grow with its lag over a link that
// was already too slow, so its pulls would time out one after another and it would never catch
// up. Of 70 VMs on links of 20 to 200 Mbit/s, with a document of 150 kB that changes eight
// times a second, none kept up for 5 s.
func (s *State) ChangesSince(after Position) (changes []Item, ok bool) {
	if after.Era != s.position.Era || !s.deletionsCompleteAfter(after.Revision) {
		return nil, false
	}
	for _, it := range s.peerItems() {
		if after.Before(it.Position()) {
			changes = append(changes, it)
		}
	}
	for _, it := range s.deletions {
		if after.Before(it.Position()) && s.items[it.Key].Position().Before(it.Position()) {
			changes = append(changes, it)
		}
	}
	slices.SortFunc(changes, byPosition)
	return changes, true
}

// byPosition orders items by the position of their last change.
func byPosition(a, b Item) int { return a.Position().Compare(b.Position()) }

// Page is what one VM sends another of its state.
type Page struct {
	// At is the position that the page brings the receiver to.
	At Position
	// After is the position that the changes start from. A whole page applies at any position.
	After Position
	// Whole is set when Items is the complete state rather than changes.
	Whole bool
	Items []Item
	// Gaps are the gaps that the changes depend on. For a peer whose position is inside a gap
	// the page lacks deletions.
	Gaps []Gap
	// Unread is set if the page lacks items, or parts of them, that the sender's decoder does not
	// read, and NoRoom if it lacks some for which the sender had no room.
	Unread, NoRoom bool
	// Partial is set by the receiver if the page lacks items that it might hold.
	Partial bool
}

// PageSince returns the page for a peer whose state is complete up to a position: the changes
// after it, or all items if those changes are no longer known.
func (s *State) PageSince(after Position) Page {
	page := Page{At: s.position, After: after}
	if after.Revision > 0 {
		if changes, ok := s.ChangesSince(after); ok {
			page.Items, page.Gaps = changes, s.gapsAfter(after.Revision)
			page.Unread, page.NoRoom = after.Before(s.unread), after.Before(s.overflow)
			return page
		}
	}
	page.Whole = true
	page.Unread, page.NoRoom = s.unread != Position{}, s.overflow != Position{}
	page.Items = s.Items()
	return page
}

// ApplyPage applies a peer's page. It refuses (applied is false) a page of changes requested at
// a position other than the current one: such a page has only the newest versions, so a VM that
// has advanced since the request would keep items that were created and deleted in between.
func (s *State) ApplyPage(now time.Time, p Page) (changed, applied bool) {
	switch {
	case p.Whole:
		return s.Replace(now, p.At, p.Items), !p.At.Before(s.position)
	case p.After != s.position:
		return false, false
	default:
		changed, applied = s.Apply(now, p.After, p.At, p.Items)
		if applied {
			s.addGaps(p.Gaps)
		}
		return changed, applied
	}
}

// peerItems returns the newest version of each item, plus the earlier versions that define what
// is in force where the newest does not. Without those, peers that missed them would continue
// with older ones.
func (s *State) peerItems() []Item {
	items := make([]Item, 0, len(s.items)+1)
	for _, it := range s.items {
		items = append(items, it)
	}
	add := func(it Item) {
		if s.items[it.Key].Position() != it.Position() {
			items = append(items, it)
		}
	}
	if s.configItem.Key != "" {
		add(s.configItem)
	}
	for _, latest := range s.starts {
		add(latest.item)
		if latest.unreadable != nil {
			add(*latest.unreadable)
		}
	}
	return items
}

// Items returns all items for a peer, sorted by key and position.
func (s *State) Items() []Item {
	items := s.peerItems()
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(strings.Compare(a.Key, b.Key), byPosition(a, b))
	})
	return items
}
