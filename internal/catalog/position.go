package catalog

import (
	"cmp"
	"fmt"
)

// Position is a point in the store's history. The zero Position precedes all others.
type Position struct {
	// Era counts how often the store was restored from an older copy. A restore loses the
	// changes acknowledged after the copy and issues their revisions again. Era is 0 for a
	// store that does not report it.
	Era uint64
	// Revision is the store's revision, which increases with each change within an era.
	Revision uint64
}

// Compare orders positions by era, then by revision.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p precedes q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// RevisionsAhead returns how many revisions p is ahead of q: 0 if it is not ahead, and 1 if it is in a
// later era.
func (p Position) RevisionsAhead(q Position) uint64 {
	switch {
	case !q.Before(p):
		return 0
	case p.Era != q.Era:
		return 1
	default:
		return p.Revision - q.Revision
	}
}

// String formats the position as "era/revision".
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }
