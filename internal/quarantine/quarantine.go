// Package quarantine decides which requests are kept from upstreams because they crash those
// that run them: poison requests. It is pure; its caller holds the lock.
//
// Such a request has no answer, so that its caller asks again, under another id and at any
// VM, and each attempt ends as many upstreams as it is sent to. One notices upstreams of a
// service that end by the dozen, and again as soon as they are back, while all other callers
// of the service are refused. VMs therefore remember what was asked when an upstream ended,
// and tell each other.
//
// An upstream may have ended for any other reason, so that a request is taken to be at fault
// only by a chain of crashes: each of an upstream that it was sent to after the crash before
// was seen. A request under which several upstreams have ended becomes a suspect, and is
// tried at one upstream alone; it is blocked when that one ends as well, and cleared as soon
// as any upstream has survived it.
package quarantine

import (
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/fingerprint"
)

const (
	// suspectCrashes and suspectRounds make a suspect. A query that goes to many shards has
	// several crashes when a part of the upstreams ends at once, but then others answer it.
	// Operators bound what is sent after the third crash.
	suspectCrashes = 3
	suspectRounds  = 2
	// blockRounds is the length of a chain that blocks by itself. Where a whole service goes
	// down within a second, a request that is at no fault may meet two or three crashes one
	// after the other, and hardly four, each within the tens of milliseconds that a send
	// lasts.
	blockRounds = 4
	// settled is how long after the crash before it a trial must have been sent to block by
	// itself. What made several upstreams end at once is over by then.
	settled = time.Second
	// blockFirst is how long a request is blocked after its last crash; then it is tried once
	// more, and blocked for blockGrowth times as long if that upstream ends too. With these
	// a request that never stops coming ends three upstreams in three days.
	blockFirst  = 15 * time.Minute
	blockGrowth = 16
	blockMost   = 14 * 24 * time.Hour
	// watchFor is how long crashes are remembered that make no suspect, suspectFor for how
	// long those that do, and clearedFor how long peers are told that a request is cleared.
	watchFor   = 10 * time.Minute
	suspectFor = 24 * time.Hour
	clearedFor = time.Minute
	// trialFor is how long a trial keeps others from beginning one: several times what an
	// answer takes, and the way to all peers.
	trialFor = time.Second
	// tellSuspect is how long an attempt under which upstreams ended may go on until peers
	// are told all the same: several times what an answer takes.
	tellSuspect = 500 * time.Millisecond
	// tellCrashes is how many upstreams that ended under one attempt make a suspect that peers
	// are told of at once: its caller, or others, may ask the same of them before the attempt
	// ends. A query that has lost only some of its parts is cleared by the others first.
	tellCrashes = MaxEnded
	// repeatFor is how long crashes that make no suspect are told to peers again.
	repeatFor = time.Minute
	// maxRecords bounds what is remembered, to about 200 KB.
	maxRecords = 1024
	// MaxEnded is how many upstreams that ended are told apart for one request.
	MaxEnded = 8
)

// Standing is how a request is to be treated.
type Standing int

// Standings.
const (
	// Free requests are run as any other.
	Free Standing = iota
	// Suspect requests are tried at one upstream first, by one VM at a time.
	Suspect
	// Blocked requests are sent to no upstream.
	Blocked
)

// String is the standing's name in logs and metrics.
func (s Standing) String() string { return [...]string{"free", "suspect", "blocked"}[s] }

// Crash is an upstream that ended while it had a request.
type Crash struct {
	// Start names the upstream and its start.
	Start uint32
	// SentAt is when the request was sent to it, EndedAt when its connection ended.
	SentAt, EndedAt time.Time
}

// Entry is what one VM tells others of a request.
type Entry struct {
	Content fingerprint.Fingerprint
	// Epoch is odd while crashes are held against the request, and even once it is cleared.
	// The highest one holds.
	Epoch uint32
	// Rounds is the length of the chain of crashes, Blocks how often it was blocked.
	Rounds, Blocks uint32
	// Ended names the upstreams that ended, MaxEnded at most.
	Ended []uint32
	// Age is the time since the last crash.
	Age time.Duration
	// Trial says that the sender tries the request now.
	Trial bool
}

// Transition is a change of a request's standing.
type Transition struct {
	Content        fingerprint.Fingerprint
	Was, Is        Standing
	Crashes        int
	Rounds, Blocks uint32
}

// record is what is held of one request.
type record struct {
	epoch, rounds, blocks uint32
	ended                 []uint32
	// lastCrash is the last crash, or when the request was cleared.
	lastCrash time.Time
	// roundAt is the first crash of the last round: what is sent later is of the next one.
	roundAt time.Time
	// tryingUntil is until when a trial is taken to be under way.
	tryingUntil time.Time
	// trial says that the trial is this VM's and is to be told.
	trial bool
	// shared says that peers know of it, news that they are to be told.
	shared, news bool
}

// Table is what a VM knows of requests under which upstreams have ended. It is not safe for
// concurrent use.
type Table struct {
	records map[fingerprint.Fingerprint]*record
	// ring is the order in which records are told again, next the place in it.
	ring []fingerprint.Fingerprint
	next int
	// recent is what was survived lately here.
	recent recent
}

// New is a table that knows of no crash.
func New() *Table { return &Table{records: map[fingerprint.Fingerprint]*record{}} }

// Empty tells whether no request is held.
func (t *Table) Empty() bool { return len(t.records) == 0 }

// Standing is how a request is to be treated, and until when that holds if it is blocked.
func (t *Table) Standing(now time.Time, content fingerprint.Fingerprint) (Standing, time.Time) {
	r := t.records[content]
	if r == nil {
		return Free, time.Time{}
	}
	standing := r.standing(now)
	if standing == Suspect && t.recent.has(now, content) {
		standing = Free
	}
	return standing, r.blockedUntil()
}

func (r *record) standing(now time.Time) Standing {
	switch {
	case r.cleared():
		return Free
	case r.blocks > 0 && now.Before(r.blockedUntil()):
		return Blocked
	case r.blocks > 0 || r.crashes() >= suspectCrashes || r.rounds >= suspectRounds:
		return Suspect
	default:
		return Free
	}
}

func (r *record) cleared() bool { return r.epoch%2 == 0 }

// blockedUntil is when a block of the record ends; zero without one.
func (r *record) blockedUntil() time.Time {
	if r.blocks == 0 {
		return time.Time{}
	}
	term := blockFirst
	for i := uint32(1); i < r.blocks && term < blockMost; i++ {
		term *= blockGrowth
	}
	return r.lastCrash.Add(min(term, blockMost))
}

// Crashed takes in an upstream that ended under a request of which no upstream has survived
// the run.
func (t *Table) Crashed(now time.Time, content fingerprint.Fingerprint, c Crash) Transition {
	r := t.hold(now, content)
	was := r.standing(now)
	if r.cleared() {
		*r = record{epoch: r.epoch + 1, shared: r.shared}
	}
	next := r.rounds == 0 || c.SentAt.After(r.roundAt)
	alone := r.rounds > 0 && c.SentAt.Sub(r.lastCrash) >= settled
	if slices.Contains(r.ended, c.Start) && !alone {
		// Another of the connections that ended with it, or one that was found ended a
		// moment later. After a while it is the next process under the same name.
		return r.turn(now, content, was)
	}
	r.name(c.Start)
	if next {
		r.rounds++
		r.roundAt = c.EndedAt
	}
	if c.EndedAt.After(r.lastCrash) {
		r.lastCrash = c.EndedAt
	}
	if was != Blocked && r.crashes() >= suspectCrashes && (r.rounds >= blockRounds && r.blocks == 0 || next && alone) {
		r.blocks++
	}
	turn := r.turn(now, content, was)
	r.news = r.news || r.shared || turn.Was != Blocked && turn.Is == Blocked || r.crashes() >= tellCrashes
	return turn
}

// Unanswered notes that an attempt has ended without an upstream that survived it: what is
// known of the request is told to peers, as its caller may come to any of them next. Told
// before, each query that has lost some of its parts would be told to all, and a moment later
// that another part has cleared it.
func (t *Table) Unanswered(content fingerprint.Fingerprint) {
	if r := t.records[content]; r != nil && !r.cleared() && !r.shared {
		r.news = true
	}
}

// Survived takes in that an upstream has run the request and lives: it is cleared.
func (t *Table) Survived(now time.Time, content fingerprint.Fingerprint) Transition {
	t.recent.note(now, content)
	r := t.records[content]
	if r == nil || r.cleared() {
		return Transition{}
	}
	was := r.standing(now)
	if !r.shared {
		delete(t.records, content)
		return Transition{Content: content, Was: was}
	}
	*r = record{epoch: r.epoch + 1, lastCrash: now, shared: true, news: true}
	return r.turn(now, content, was)
}

// Merge takes in what a peer tells.
func (t *Table) Merge(now time.Time, e Entry) Transition {
	r := t.records[e.Content]
	if r == nil && e.Epoch%2 == 0 {
		return Transition{}
	}
	r = t.hold(now, e.Content)
	was := r.standing(now)
	if e.Trial {
		r.tryingUntil = now.Add(trialFor)
	}
	lastCrash := now.Add(-e.Age)
	switch {
	case e.Epoch < r.epoch:
	case e.Epoch > r.epoch:
		*r = record{epoch: e.Epoch, rounds: e.Rounds, blocks: e.Blocks, ended: slices.Clone(e.Ended), lastCrash: lastCrash, roundAt: now, tryingUntil: r.tryingUntil}
	default:
		r.join(now, e, lastCrash)
	}
	r.shared = true
	return r.turn(now, e.Content, was)
}

// join adds what a peer tells of the same epoch. A round of crashes here that the peer had
// at the same time stays one.
func (r *record) join(now time.Time, e Entry, lastCrash time.Time) {
	for _, start := range e.Ended {
		r.name(start)
	}
	if e.Rounds > r.rounds {
		r.rounds = e.Rounds
		r.roundAt = now
	}
	r.blocks = max(r.blocks, e.Blocks)
	if lastCrash.After(r.lastCrash) {
		r.lastCrash = lastCrash
	}
}

// name adds an upstream that ended.
func (r *record) name(start uint32) {
	if len(r.ended) < MaxEnded && !slices.Contains(r.ended, start) {
		r.ended = append(r.ended, start)
	}
}

// crashes is how many upstreams are known to have ended: where processes keep their names
// when they start again, more than can be told apart by them.
func (r *record) crashes() int { return max(len(r.ended), int(r.rounds)) }

// turn is the change since the request had another standing.
func (r *record) turn(now time.Time, content fingerprint.Fingerprint, was Standing) Transition {
	return Transition{Content: content, Was: was, Is: r.standing(now), Crashes: r.crashes(), Rounds: r.rounds, Blocks: r.blocks}
}

// hold is the record of a request, made when there is none.
func (t *Table) hold(now time.Time, content fingerprint.Fingerprint) *record {
	r := t.records[content]
	if r != nil {
		return r
	}
	if len(t.records) >= maxRecords {
		t.drop(now)
	}
	r = &record{epoch: 1}
	t.records[content] = r
	return r
}

// drop makes room: the record goes that matters least, of several the one whose last crash
// is longest ago.
func (t *Table) drop(now time.Time) {
	var least fingerprint.Fingerprint
	var held *record
	for content, r := range t.records {
		if held == nil || r.matters(now, held) < 0 {
			least, held = content, r
		}
	}
	delete(t.records, least)
}

// matters compares two records by how much they matter.
func (r *record) matters(now time.Time, other *record) int {
	if d := int(r.standing(now)) - int(other.standing(now)); d != 0 {
		return d
	}
	return r.lastCrash.Compare(other.lastCrash)
}

// Expire forgets what is too old, and lets peers be told of suspects whose attempt goes on.
// It is to be called each second or so.
func (t *Table) Expire(now time.Time) {
	for content, r := range t.records {
		switch {
		case now.After(r.keepUntil(now)):
			delete(t.records, content)
		case !r.shared && r.standing(now) == Suspect && now.Sub(r.lastCrash) >= tellSuspect:
			r.news = true
		}
	}
}

func (r *record) keepUntil(now time.Time) time.Time {
	switch {
	case r.cleared():
		return r.lastCrash.Add(clearedFor)
	case r.blocks > 0:
		return r.blockedUntil().Add(suspectFor)
	case r.standing(now) == Suspect:
		return r.lastCrash.Add(suspectFor)
	default:
		return r.lastCrash.Add(watchFor)
	}
}

// Count is how many requests have each standing.
func (t *Table) Count(now time.Time) map[Standing]int {
	out := map[Standing]int{}
	for _, r := range t.records {
		out[r.standing(now)]++
	}
	return out
}
