package config

import "time"

// Peer is another daemon that this one can pull from.
type Peer struct {
	VM         string
	DataCentre string
	// Address is the address on which it serves peers.
	Address string
}

// Event is an input of Syncer.Step.
type Event interface{ event() }

// Tick runs the timers; the driver sends it several times a second.
type Tick struct{}

// Peers replaces the list of peers, which excludes this daemon.
type Peers struct{ List []Peer }

// RevisionClaimed reports the revision that a peer claims to hold.
type RevisionClaimed struct {
	Address  string
	Revision uint64
}

// Pulled is the response to a Pull.
type Pulled struct {
	ID   uint64
	Page Page
	// Age is the time since the platform confirmed the peer's configuration.
	Age time.Duration
}

// PullLost reports that a Pull will not be answered.
type PullLost struct{ ID uint64 }

// Pushed is an unsolicited page from a peer.
type Pushed struct {
	Address string
	Page    Page
}

// ReadCompleted is the platform's response to a Read.
type ReadCompleted struct{ Page Page }

// ReadFailed reports that a Read failed.
type ReadFailed struct{ Reason FailureReason }

func (Tick) event()            {}
func (Peers) event()           {}
func (RevisionClaimed) event() {}
func (Pulled) event()          {}
func (PullLost) event()        {}
func (Pushed) event()          {}
func (ReadCompleted) event()   {}
func (ReadFailed) event()      {}

// FailureReason is the reason why a read of the platform failed.
type FailureReason string

// The failure reasons, spelled as in metrics and status.
const (
	// Unreachable means that the connection failed or the read timed out.
	Unreachable FailureReason = "unreachable"
	// Refused means a response with a status other than 200.
	Refused FailureReason = "refused"
	// Malformed means a response that is truncated or violates the protocol.
	Malformed FailureReason = "malformed"
	// Stale means a response with a lower revision than the requested one.
	Stale FailureReason = "stale"
)

// FailureReasons lists every FailureReason.
var FailureReasons = []FailureReason{Unreachable, Refused, Malformed, Stale}

// Action is an output of Syncer.Step that the driver carries out.
type Action interface{ action() }

// Read requests the changes above revision After from the platform, which waits
// up to Wait for the first one. At most one Read is open at a time; it ends with
// ReadCompleted or ReadFailed.
type Read struct {
	After uint64
	Wait  time.Duration
}

// Pull requests the changes above a position, as returned by Page.Next, from a
// peer. It ends with Pulled or PullLost; otherwise the Syncer times it out.
type Pull struct {
	ID        uint64
	Address   string
	After     uint64
	AfterName string
	Held      uint64
}

// Push sends an unsolicited page to peers.
type Push struct {
	Addresses []string
	Page      Page
}

// StateChanged reports that the State has changed.
type StateChanged struct{}

// CountPull increments the metric of a pull event.
type CountPull struct{ Event PullEvent }

func (Read) action()             {}
func (Pull) action()             {}
func (Push) action()             {}
func (StateChanged) action()     {}
func (CountPull) action()        {}
func (CountReadFailure) action() {}

// CountReadFailure increments the metric of failed reads.
type CountReadFailure struct{ Reason FailureReason }

// PullEvent is the kind of pull event in a CountPull.
type PullEvent string

// The pull events, spelled as in metrics.
const (
	PullTimedOut  PullEvent = "timed_out"
	PullWasLost   PullEvent = "lost"
	PullRepaired  PullEvent = "repaired"
	PullDiffers   PullEvent = "differs"
	PullLate      PullEvent = "late"
	PullFellShort PullEvent = "fell_short"
)

// PullEvents lists every pull event.
var PullEvents = []PullEvent{PullTimedOut, PullWasLost, PullRepaired, PullDiffers, PullLate, PullFellShort}
