package catalogsync

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

const (
	// configurationShare is the interval between two reads of the configuration alone, as a fraction
	// of the bound, while answers of the store are large. A VM that has waited for a confirmation for
	// as long as it may still reads it in time.
	configurationShare = 0.25
	// fullListingStep is the delay per rank after which a VM that is not elected reads a large
	// listing to its end.
	fullListingStep = 100 * time.Millisecond
)

// configurationRead is the state of reads of the configuration alone.
type configurationRead struct {
	open bool
	// nextAt is when the next one may start.
	nextAt time.Time
}

// ReadLarge handles a listing or a watch that is still open and whose answer turns out to be large.
// Reading it may take longer than a change of the configuration may, so that is read alone meanwhile.
func (f *Follower) ReadLarge(now time.Time) []Action {
	f.actions = nil
	f.largeRead = true
	if f.fullListingAt.IsZero() {
		f.fullListingAt = now.Add(time.Duration(f.rank) * fullListingStep)
	}
	f.maybeReadConfiguration(now)
	return f.actions
}

// ReadsLarge reports whether this VM is to read a large answer to its end. The readers do. The others
// do one after the other: if all did at once, as when the whole fleet starts, none would get its answer
// in time over the store's link. Until then they may pull from those before them. Any other call ends
// as too large.
func (f *Follower) ReadsLarge(now time.Time) bool {
	return f.Elected(now) || !now.Before(f.fullListingAt)
}

// ReadTooLarge handles a read whose answer was too large, or took too long for its size. The store
// works, so this is no outage, and the same call would fail again: the next one is a listing, which
// comes in pages.
func (f *Follower) ReadTooLarge(now time.Time) []Action {
	f.actions = nil
	f.readOpen = false
	f.largeRead = true
	f.state.StoreAnswered(now)
	f.nextReadAt = now
	if f.relist || f.preferList {
		f.nextReadAt = f.backOff(now)
	}
	if !f.ReadsLarge(now) {
		f.nextReadAt = later(f.nextReadAt, f.fullListingAt)
	}
	f.relist = true
	f.maybeRead(now)
	f.maybeReadConfiguration(now)
	return f.actions
}

// maybeReadConfiguration starts a read of the configuration alone if one is due.
func (f *Follower) maybeReadConfiguration(now time.Time) {
	c := &f.configuration
	if !f.largeRead || c.open || now.Before(c.nextAt) || f.state.Revision() == 0 {
		return
	}
	c.open = true
	c.nextAt = now.Add(f.ofBound(configurationShare))
	f.emit(ReadConfiguration{})
}

// ConfigurationRead handles the configuration that was read alone.
func (f *Follower) ConfigurationRead(now time.Time, it catalog.Item) []Action {
	f.actions = nil
	f.configuration.open = false
	f.state.StoreAnswered(now)
	if f.state.PutConfiguration(it) {
		f.emit(Changed{})
	}
	return f.actions
}

// ConfigurationFailed handles a failed read of the configuration alone.
func (f *Follower) ConfigurationFailed(now time.Time) []Action {
	f.actions = nil
	f.configuration.open = false
	return f.actions
}
