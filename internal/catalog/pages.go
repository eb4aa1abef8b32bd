package catalog

import (
	"cmp"
	"slices"
	"strings"
)

// keptDeletions is how many deletions are kept for peers that are a little behind;
// one that is further behind takes everything. It is some hundred upstreams replaced
// within seconds; a deletion takes about 100 bytes.
const keptDeletions = 512

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
	slices.SortFunc(changes, byRevision)
	return changes, true
}

func byRevision(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) }

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

// known is the newest version of each item, and what is in force where that is not the
// newest: peers that missed it would go on by an older one.
func (s *State) known() []Item {
	items := make([]Item, 0, len(s.items)+len(s.kept))
	for _, it := range s.items {
		items = append(items, it)
	}
	for _, it := range s.kept {
		items = append(items, it)
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
