package catalog

// trimShare is the part of the limit that is left out at a time.
const trimShare = 8

// keptUnreadable is how many unreadable items a full Sieve keeps, so that the State learns that there
// are some.
const keptUnreadable = 16

// Sieve collects the items of a response of the store, reduced to what a State keeps of them, while
// the response is read. Its memory is bounded whatever others write to the store.
type Sieve struct {
	decoder Decoder
	// limit bounds size. The versions of a configuration may take half as much in addition, or one
	// version if that is more.
	limit int
	// partial is set if items that do not fit may be left out.
	partial bool
	// held reports whether the State holds a key; nil if it holds none.
	held func(key string) bool

	items []Item
	// reduced is how many of items are reduced. Small values are only decoded if memory runs out.
	reduced     int
	size        int
	configBytes int
	configs     int
	full        bool
	leftOut     int
	// evacuations counts the items of that kind.
	evacuations int
}

// NewSieve returns an empty Sieve with a limit in bytes. If partial is set, items that do not fit are
// left out: those that cannot be decoded first, those that the State holds last, as it would take
// them for deleted.
func NewSieve(d Decoder, limit int, partial bool) *Sieve {
	return &Sieve{decoder: d, limit: limit, partial: partial}
}

// Prefer sets a function that reports whether the State holds a key.
func (s *Sieve) Prefer(held func(key string) bool) { s.held = held }

func (s *Sieve) prefers(key string) bool { return s.held != nil && s.held(key) }

// Items returns the collected items in the order in which they were added.
func (s *Sieve) Items() []Item { return s.items }

// LeftOut returns how many items were left out.
func (s *Sieve) LeftOut() int { return s.leftOut }

// Add adds an item. It returns false if the item does not fit and may not be left out.
func (s *Sieve) Add(it Item) bool {
	if s.decoder.Kind(it.Key) == Configuration && !it.Deleted {
		s.addConfig(it)
		return true
	}
	if len(it.Value) > maxPlainValue || s.full {
		it = reduce(s.decoder, it)
	}
	if s.leavesOut(it) {
		s.leftOut++
		return true
	}
	s.items = append(s.items, it)
	s.size += it.cost()
	if s.size > s.limit {
		s.makeRoom()
	}
	return s.partial || s.size <= s.limit
}

// leavesOut reports whether there is no room for an item.
func (s *Sieve) leavesOut(it Item) bool {
	if !s.partial {
		return false
	}
	evacuation := !it.Deleted && s.decoder.Kind(it.Key) == Evacuation
	if evacuation {
		s.evacuations++
	}
	noRoom := s.full && (s.isUnreadable(it) || s.size+it.cost() > s.limit)
	return (noRoom || evacuation && s.evacuations > maxEvacuations) && !s.prefers(it.Key)
}

// addConfig adds a version of the configuration. Superseded versions are dropped once they take too
// much; before, they show how often the configuration changes.
func (s *Sieve) addConfig(it Item) {
	s.items = append(s.items, it)
	s.configBytes += len(it.Value)
	s.configs++
	if s.configs > 1 && s.configBytes > s.limit/2 {
		s.pruneConfigs()
	}
}

// pruneConfigs drops the versions older than the newest valid one, and the values of later ones.
func (s *Sieve) pruneConfigs() {
	var valid Position
	for {
		newest := s.newestConfig()
		if newest < 0 {
			return
		}
		it := s.items[newest]
		_, err := s.decoder.Config(it)
		if err == nil {
			valid = it.Position()
			break
		}
		s.configBytes -= len(it.Value)
		s.configs--
		s.items[newest] = it.unreadable(err)
	}
	s.remove(func(it Item) bool {
		superseded := s.isConfig(it) && it.Position().Before(valid)
		if superseded {
			s.configBytes -= len(it.Value)
			s.configs--
		}
		return superseded
	})
}

func (s *Sieve) isConfig(it Item) bool {
	return it.Fault == nil && !it.Deleted && s.decoder.Kind(it.Key) == Configuration
}

// newestConfig returns the index of the newest version that may be valid, or -1.
func (s *Sieve) newestConfig() int {
	newest := -1
	for i, it := range s.items {
		if s.isConfig(it) && (newest < 0 || s.items[newest].Position().Before(it.Position())) {
			newest = i
		}
	}
	return newest
}

// makeRoom reduces all items, and leaves out unreadable ones if that is not enough and permitted.
func (s *Sieve) makeRoom() {
	s.size = 0
	for i, it := range s.items {
		if i >= s.reduced && !s.isConfig(it) {
			s.items[i] = reduce(s.decoder, it)
		}
		if !s.isConfig(it) {
			s.size += s.items[i].cost()
		}
	}
	s.reduced = len(s.items)
	if !s.partial || s.size <= s.limit/2 {
		return
	}
	unreadable := 0
	s.remove(func(it Item) bool {
		if !s.isUnreadable(it) || s.prefers(it.Key) {
			return false
		}
		unreadable++
		if unreadable <= keptUnreadable {
			return false
		}
		s.leftOut++
		s.size -= it.cost()
		return true
	})
	s.full = s.size > s.limit/2
	if s.size > s.limit {
		s.trim()
	}
}

// trim leaves out some of the last items that the State does not hold. It leaves out more than it has
// to, so that it is not needed for each item.
func (s *Sieve) trim() {
	left, size := 0, s.size
	trimmed := make(map[int]bool)
	for i := len(s.items) - 1; i >= 0 && size > s.limit-s.limit/trimShare; i-- {
		it := s.items[i]
		if s.isConfig(it) || s.prefers(it.Key) {
			continue
		}
		trimmed[i] = true
		left++
		size -= it.cost()
	}
	i := -1
	s.remove(func(Item) bool { i++; return trimmed[i] })
	s.leftOut += left
	s.size = size
}

func (s *Sieve) isUnreadable(it Item) bool {
	return it.Fault != nil || !it.Deleted && s.decoder.Kind(it.Key) == Other
}

// remove removes the items for which drop returns true.
func (s *Sieve) remove(drop func(Item) bool) {
	reduced := 0
	kept := s.items[:0]
	for i, it := range s.items {
		if drop(it) {
			continue
		}
		kept = append(kept, it)
		if i < s.reduced {
			reduced++
		}
	}
	clear(s.items[len(kept):])
	s.items, s.reduced = kept, reduced
}
