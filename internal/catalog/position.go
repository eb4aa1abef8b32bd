package catalog

import (
	"cmp"
	"fmt"
)

// Position is a point in the store's history. The zero Position is before all others.
type Position struct {
	// Era counts how often the store came back from an older copy: what it acknowledged
	// after the copy is lost, and it gives out the revisions since again. 0 stands for a
	// store that does not tell.
	Era uint64
	// Revision is the store's revision, which rises with each change within an era.
	Revision uint64
}

// Compare orders positions by the era, then by the revision.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before tells whether the position is an earlier one than another.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// Above is how many revisions the position is above another one, at least 1 where it is of
// a later era, and 0 where it is not the later one.
func (p Position) Above(q Position) uint64 {
	switch {
	case !q.Before(p):
		return 0
	case p.Era != q.Era:
		return 1
	default:
		return p.Revision - q.Revision
	}
}

// String is the era and the revision.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }
