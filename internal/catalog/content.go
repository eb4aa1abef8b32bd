package catalog

import (
	"errors"
	"fmt"
)

const (
	// maxPlainValue is the size in bytes up to which the value of a registration is kept as it was
	// written. Upstreams write some two hundred bytes.
	maxPlainValue = 1 << 10
	// itemOverhead is what a held item takes beside its key and its value, in bytes.
	itemOverhead = 200
	// maxEvacuations is how many evacuations are held.
	maxEvacuations = 1024
	// maxFaultText limits the text of an error about an item, which may quote the item.
	maxFaultText = 256
	// maxRejected is how many rejected items are listed until they are taken, and maxFaults for how
	// many keys the last error is known.
	maxRejected = 64
	maxFaults   = 512
)

var (
	// errNoRoom rejects an item that does not fit within the state's limit.
	errNoRoom = errors.New("no room: the published items exceed the limit of this VM")
	// ErrWithheld is the fault of an item whose value a peer did not send because it could not
	// decode it.
	ErrWithheld = errors.New("a peer could not decode the value")
)

// Compactor is implemented by decoders of registrations that may hold more than the decoder reads.
type Compactor interface {
	// Compact returns a short value that decodes like the item's.
	Compact(Item) ([]byte, error)
}

// cost returns the bytes that an item takes in memory.
func (it Item) cost() int { return len(it.Key) + len(it.Value) + itemOverhead }

// unreadable returns the item without its value, which cannot be decoded.
func (it Item) unreadable(fault error) Item {
	it.Value, it.Fault = nil, shortened(fault)
	return it
}

// shortened returns an error with a text of limited length.
func shortened(err error) error {
	text := err.Error()
	if len(text) <= maxFaultText {
		return err
	}
	return fmt.Errorf("%s... (%d bytes)", text[:maxFaultText], len(text))
}

// reduce returns an item with what a State keeps of it, so that other writers' values take no memory.
// Configurations are returned as they are.
func reduce(d Decoder, it Item) Item {
	if it.Deleted || it.Fault != nil {
		return it
	}
	switch d.Kind(it.Key) {
	case Other:
		it.Value = nil
	case Evacuation:
		return withoutLongValue(it)
	case Registration:
		if _, err := d.Upstream(it); err != nil {
			return it.unreadable(err)
		}
		return compact(d, it)
	}
	return it
}

// withoutLongValue returns an item whose value is not read without it, if it is long.
func withoutLongValue(it Item) Item {
	if len(it.Value) > maxPlainValue {
		it.Value, it.Abridged = nil, true
	}
	return it
}

// compact returns a registration with a short value.
func compact(d Decoder, it Item) Item {
	c, ok := d.(Compactor)
	if !ok || len(it.Value) <= maxPlainValue {
		return it
	}
	value, err := c.Compact(it)
	if err != nil {
		return it.unreadable(err)
	}
	it.Value, it.Abridged = value, true
	return it
}

// SetLimit bounds the memory of the held registrations and evacuations, in bytes. What exceeds it is
// rejected, and the state goes on with what it holds.
func (s *State) SetLimit(bytes int) {
	s.limit = bytes
	s.history.limit = min(maxHistoryBytes, bytes)
}

// Size returns the memory of the held registrations and evacuations, in bytes.
func (s *State) Size() int { return s.size }

// Holds reports whether an item with a key is held.
func (s *State) Holds(key string) bool {
	_, held := s.items[key]
	return held
}

// fits reports whether an item may be held.
func (s *State) fits(it Item) bool {
	size := s.size + it.cost()
	if held, ok := s.items[it.Key]; ok {
		size -= held.cost()
	}
	return s.limit == 0 || size <= s.limit
}

// hold stores the newest version of an item.
func (s *State) hold(it Item) {
	if s.decoder.Kind(it.Key) != Configuration {
		if held, ok := s.items[it.Key]; ok {
			s.size -= held.cost()
		}
		s.size += it.cost()
	}
	s.items[it.Key] = it
}

// release drops a held registration or evacuation.
func (s *State) release(key string) {
	if held, ok := s.items[key]; ok {
		s.size -= held.cost()
		delete(s.items, key)
	}
}

// markUnread records that this VM does not hold all of an item, which another release may read.
func (s *State) markUnread(at Position) {
	if s.unread.Before(at) {
		s.unread = at
	}
}

// rejectForRoom records an item that does not fit.
func (s *State) rejectForRoom(it Item) {
	s.reject(it, errNoRoom)
	if s.overflow.Before(it.Position()) {
		s.overflow = it.Position()
	}
}

// Overflowed reports whether items have been rejected because they exceed the limit.
func (s *State) Overflowed() bool { return s.overflow != Position{} }

// reject records an item that was not accepted, for TakeRejected.
func (s *State) reject(it Item, err error) {
	err = shortened(err)
	fault := err.Error()
	repeated := s.lastFaults[it.Key] == fault
	if len(s.rejected) < maxRejected {
		s.rejected = append(s.rejected, Rejected{Key: it.Key, Revision: it.Revision, Err: err, Repeated: repeated})
	} else {
		s.unlisted++
	}
	if _, known := s.lastFaults[it.Key]; known || len(s.lastFaults) < maxFaults {
		s.lastFaults[it.Key] = fault
	}
}

// TakeRejected returns the items rejected since the last call, of which there may be more than it
// lists.
func (s *State) TakeRejected() []Rejected {
	r := s.rejected
	s.rejected = nil
	return r
}

// TakeUnlisted returns how many rejected items TakeRejected has not listed since the last call.
func (s *State) TakeUnlisted() int {
	n := s.unlisted
	s.unlisted = 0
	return n
}
