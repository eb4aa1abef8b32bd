package config

import "time"

// Peer is another daemon that may be asked.
type Peer struct {
	VM         string
	DataCentre string
	// Address is where it serves peers.
	Address string
}

// Event is something a Syncer reacts to.
type Event interface{ event() }

// Tick lets time pass; it comes several times a second.
type Tick struct{}

// Peers replaces the peers that may be asked, this daemon left out.
type Peers struct{ List []Peer }

// Heard tells that a peer claims to hold a revision.
type Heard struct {
	Address  string
	Revision uint64
}

// Pulled is the answer to a Pull.
type Pulled struct {
	ID   uint64
	Page Page
	// Age is how long ago the platform confirmed the peer's configuration.
	Age time.Duration
}

// PullLost tells that a Pull will get no answer.
type PullLost struct{ ID uint64 }

// Pushed is a page that a peer sent unasked.
type Pushed struct {
	Address string
	Page    Page
}

// Answered is the platform's answer to a Read.
type Answered struct{ Page Page }

// Failed tells that a Read brought nothing.
type Failed struct{ Reason FailureReason }

func (Tick) event()     {}
func (Peers) event()    {}
func (Heard) event()    {}
func (Pulled) event()   {}
func (PullLost) event() {}
func (Pushed) event()   {}
func (Answered) event() {}
func (Failed) event()   {}

// FailureReason is why a read of the platform brought nothing.
type FailureReason string

// The reasons, as they stand in metrics and status.
const (
	// Unreachable: no connection, or no answer in time.
	Unreachable FailureReason = "unreachable"
	// Refused: an answer with another status than 200.
	Refused FailureReason = "refused"
	// Malformed: an answer that is cut off or breaks the interface's rules.
	Malformed FailureReason = "malformed"
	// Stale: an answer of a lower revision than the one asked about.
	Stale FailureReason = "stale"
)

// FailureReasons is every reason.
var FailureReasons = []FailureReason{Unreachable, Refused, Malformed, Stale}

// Action is something the driver must do.
type Action interface{ action() }

// Read asks the platform for the changes above a revision and waits up to Wait
// for the first one. There is never more than one Read open; it ends with
// Answered or Failed.
type Read struct {
	After uint64
	Wait  time.Duration
}

// Pull asks a peer for the changes above a place. It ends with Pulled or
// PullLost; the Syncer gives up by itself when neither comes.
type Pull struct {
	ID        uint64
	Address   string
	After     uint64
	AfterName string
	Held      uint64
}

// Push sends a page to peers unasked.
type Push struct {
	Addresses []string
	Page      Page
}

// PutInForce tells that the State has changed.
type PutInForce struct{}

// Count reports something for the metrics.
type Count struct{ Event Counted }

func (Read) action()         {}
func (Pull) action()         {}
func (Push) action()         {}
func (PutInForce) action()   {}
func (Count) action()        {}
func (CountFailure) action() {}

// CountFailure reports a read that brought nothing.
type CountFailure struct{ Reason FailureReason }

// Counted is what a Count counts.
type Counted string

// What is counted, as it stands in metrics.
const (
	PullTimedOut  Counted = "timed_out"
	PullWasLost   Counted = "lost"
	PullRepaired  Counted = "repaired"
	PullDiffers   Counted = "differs"
	PullLate      Counted = "late"
	PullFellShort Counted = "fell_short"
)

// CountedEvents is every counted event.
var CountedEvents = []Counted{PullTimedOut, PullWasLost, PullRepaired, PullDiffers, PullLate, PullFellShort}
