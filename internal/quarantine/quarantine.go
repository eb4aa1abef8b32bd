// Package quarantine detects poison requests, which crash the upstreams that run them, and
// decides whether a request may be sent. It reads no clock and takes no lock; callers pass the
// time and hold a lock.
//
// A poison request is never answered, so its caller retries it under another request id and at
// any VM, and each attempt crashes every upstream that it reaches. Upstreams of the service
// then end by the dozen, and again as soon as they have restarted, while all other callers of
// the service are refused. VMs therefore record the content of requests under which upstreams
// end, and share the records.
//
// An upstream may end for another reason, so a request is blamed only for a chain of crashes.
// A chain consists of rounds: a crash starts a new round if its upstream was sent the request
// after the first crash of the previous round. A request under which several upstreams have
// ended becomes a suspect, which is tried at one upstream at a time (a trial). It is blocked
// if that upstream ends too, and cleared as soon as any upstream has survived it.
package quarantine

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/fingerprint"
)

const (
	// A request becomes a suspect after suspectCrashes crashes or suspectRounds rounds. A query
	// to many shards has several crashes when part of the upstreams end at once, but then the
	// other upstreams answer it. Operators limit the sends after the third crash.
	suspectCrashes = 3
	suspectRounds  = 2
	// blockRounds is the length of a chain that blocks a request without a trial. When a whole
	// service ends within a second, an innocent request may meet two or three crashes one
	// after the other, each within the tens of milliseconds of a send, but hardly four.
	blockRounds = 4
	// settleTime is how long after the last crash a trial must be sent for its own crash to
	// block the request. An event that ends several upstreams at once is over within this time.
	settleTime = time.Second
	// initialBlock is the duration of the first block, counted from the last crash. The request
	// is then tried once, and blocked for blockGrowth times as long if the trial's upstream ends
	// too. With these values a request that is retried without end crashes three upstreams in
	// three days.
	initialBlock = 15 * time.Minute
	blockGrowth  = 16
	maxBlock     = 14 * 24 * time.Hour
	// crashRetention is how long the crashes of a request that is no suspect are kept,
	// suspectRetention how long a suspect is kept, and clearedRetention how long peers are
	// informed that a request is cleared.
	crashRetention   = 10 * time.Minute
	suspectRetention = 24 * time.Hour
	clearedRetention = time.Minute
	// trialTimeout is how long a trial prevents others: several times the time of an answer and
	// of a message to all peers.
	trialTimeout = time.Second
	// shareSuspectAfter is how long after the last crash a suspect is sent to peers although its
	// attempt still runs: several times the time of an answer.
	shareSuspectAfter = 500 * time.Millisecond
	// shareCrashes is the number of crashes at which a request is sent to peers at once: its
	// caller or others may send it to them before the attempt ends. A query that has lost only
	// some of its parts is cleared by the other parts first.
	shareCrashes = MaxInstances
	// repeatCrashesFor is how long the crashes of a request that is no suspect are re-sent to
	// peers.
	repeatCrashesFor = time.Minute
	// maxRecords limits the memory of a Table to about 200 KB.
	maxRecords = 1024
	// MaxInstances is how many ended upstreams are kept per request.
	MaxInstances = 8
)

// Standing is how a request is treated.
type Standing int

// Standings in increasing order of severity.
const (
	// Free requests run without restriction.
	Free Standing = iota
	// Suspect requests are tried at one upstream at a time, by one VM at a time.
	Suspect
	// Blocked requests are sent to no upstream.
	Blocked
)

// String returns the standing's name in logs and metrics.
func (s Standing) String() string { return [...]string{"free", "suspect", "blocked"}[s] }

// Crash is the end of an upstream that was running a request.
type Crash struct {
	// Instance identifies one process of an upstream: a hash of its name and, if known, its start
	// time. A process that was reached before its registration has the Instance of the former one.
	Instance uint32
	// ConnectedAt is when the opening of the connection began; zero if that is not known. SentAt
	// is when the request was sent, EndedAt when the connection closed.
	ConnectedAt, SentAt, EndedAt time.Time
}

// Entry is the state of one request as VMs share it.
type Entry struct {
	Content fingerprint.Fingerprint
	// Epoch is odd while the request has crashes and even once it is cleared. The entry with
	// the highest epoch is in force.
	Epoch uint32
	// Rounds is the length of the chain of crashes, Blocks how often the request was blocked.
	Rounds, Blocks uint32
	// Ended identifies the processes that ended, at most MaxInstances, as Crash.Instance does. An
	// instance is repeated for each of its processes.
	Ended []uint32
	// EndedAges is the time since each process of Ended had ended; nil if that is not known.
	EndedAges []time.Duration
	// Age is the time since the last crash, or since the request was cleared.
	Age time.Duration
	// Trial reports that the sender has started a trial of the request.
	Trial bool
}

// Transition describes a request's standing before and after an update.
type Transition struct {
	Content        fingerprint.Fingerprint
	Was, Is        Standing
	Crashes        int
	Rounds, Blocks uint32
}

// record is the state of one request.
type record struct {
	epoch, rounds, blocks uint32
	ended                 endedProcesses
	// lastCrash is the time of the last crash, or when the request was cleared.
	lastCrash time.Time
	// roundStart is the time of the first crash in the current round. Crashes of later sends
	// belong to the next round.
	roundStart time.Time
	// trialUntil is when the current trial times out.
	trialUntil time.Time
	// announceTrial is set while this VM has a trial that peers have not been sent.
	announceTrial bool
	// shared is set once peers have the record, pending while it waits to be sent to all peers.
	shared, pending bool
	// unsent is set while this VM has detected crashes that peers have not been sent.
	unsent bool
}

// Table holds the requests under which upstreams have ended. It is not safe for concurrent use.
type Table struct {
	records map[fingerprint.Fingerprint]*record
	// ring is the order in which records are re-sent, ringPos the next position in it.
	ring    []fingerprint.Fingerprint
	ringPos int
	// recent holds the requests that upstreams recently survived on this VM.
	recent recentSurvivals
}

// New returns an empty Table.
func New() *Table { return &Table{records: map[fingerprint.Fingerprint]*record{}} }

// Empty reports whether the table has no records.
func (t *Table) Empty() bool { return len(t.records) == 0 }

// Standing returns a request's standing and, if the request has been blocked, the end of its
// last block.
func (t *Table) Standing(now time.Time, content fingerprint.Fingerprint) (Standing, time.Time) {
	r := t.records[content]
	if r == nil {
		return Free, time.Time{}
	}
	standing := r.standing(now)
	if standing == Suspect && t.recent.contains(now, content) {
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

// blockedUntil returns the end of the last block, or the zero time if the request was never
// blocked.
func (r *record) blockedUntil() time.Time {
	if r.blocks == 0 {
		return time.Time{}
	}
	term := initialBlock
	for i := uint32(1); i < r.blocks && term < maxBlock; i++ {
		term *= blockGrowth
	}
	return r.lastCrash.Add(min(term, maxBlock))
}

// Crashed records a crash in an attempt that no upstream has survived.
func (t *Table) Crashed(now time.Time, content fingerprint.Fingerprint, c Crash) Transition {
	r := t.getOrCreate(now, content)
	was := r.standing(now)
	if r.cleared() {
		*r = record{epoch: r.epoch + 1, shared: r.shared}
	}
	newRound := r.rounds == 0 || c.SentAt.After(r.roundStart)
	settled := r.rounds > 0 && c.SentAt.Sub(r.lastCrash) >= settleTime
	if !r.ended.observe(c) && !settled {
		// Another connection to the same process, or a late detection of the same crash. After
		// settleTime the crash is that of the next process under the same name.
		return r.transition(now, content, was)
	}
	r.unsent = true
	if newRound {
		r.rounds++
		r.roundStart = c.EndedAt
	}
	if c.EndedAt.After(r.lastCrash) {
		r.lastCrash = c.EndedAt
	}
	if was != Blocked && r.crashes() >= suspectCrashes && (r.rounds >= blockRounds && r.blocks == 0 || newRound && settled && was == Suspect) {
		r.blocks++
	}
	change := r.transition(now, content, was)
	r.pending = r.pending || r.shared || change.Was != Blocked && change.Is == Blocked || r.crashes() >= shareCrashes
	return change
}

// Unanswered records that an attempt has ended and no upstream has survived it. The request
// is then sent to all peers, as its caller may retry at any VM. Sending it earlier would cost
// two messages for each query that loses some of its parts: its crashes and, once another part
// is answered, its clearance.
func (t *Table) Unanswered(content fingerprint.Fingerprint) {
	if r := t.records[content]; r != nil && !r.cleared() && r.unsent {
		r.pending = true
	}
}

// Survived records that an upstream has run the request without a crash, which clears it.
func (t *Table) Survived(now time.Time, content fingerprint.Fingerprint) Transition {
	t.recent.add(now, content)
	r := t.records[content]
	if r == nil || r.cleared() {
		return Transition{}
	}
	was := r.standing(now)
	if !r.shared {
		delete(t.records, content)
		return Transition{Content: content, Was: was}
	}
	*r = record{epoch: r.epoch + 1, lastCrash: now, shared: true, pending: true}
	return r.transition(now, content, was)
}

// Merge merges an entry received from a peer.
func (t *Table) Merge(now time.Time, e Entry) Transition {
	r := t.records[e.Content]
	if r == nil && e.Epoch%2 == 0 {
		return Transition{}
	}
	r = t.getOrCreate(now, e.Content)
	was := r.standing(now)
	if e.Trial {
		r.trialUntil = now.Add(trialTimeout)
	}
	lastCrash := now.Add(-e.Age)
	switch {
	case e.Epoch < r.epoch:
	case e.Epoch > r.epoch:
		*r = record{epoch: e.Epoch, rounds: e.Rounds, blocks: e.Blocks, lastCrash: lastCrash, roundStart: now, trialUntil: r.trialUntil}
		r.ended.merge(e.Ended, e.endedAt(now))
	default:
		r.mergeEpoch(now, e, lastCrash)
	}
	r.shared = true
	return r.transition(now, e.Content, was)
}

// mergeEpoch merges an entry of the record's own epoch. It takes the larger number of rounds
// and does not add the two: a round seen by both VMs counts once.
func (r *record) mergeEpoch(now time.Time, e Entry, lastCrash time.Time) {
	r.mergeEnded(now, e)
	if e.Rounds > r.rounds {
		r.rounds = e.Rounds
		r.roundStart = now
	}
	r.blocks = max(r.blocks, e.Blocks)
	if lastCrash.After(r.lastCrash) {
		r.lastCrash = lastCrash
	}
}

// mergeEnded merges the ended processes of an entry. Only this VM can tell the processes that it
// saw end from those of the entry, so it sends the result to its peers.
func (r *record) mergeEnded(now time.Time, e Entry) {
	if r.ended.merge(e.Ended, e.endedAt(now)) {
		r.pending = true
	}
}

// endedAt returns the times by which the processes of Ended had ended.
func (e *Entry) endedAt(now time.Time) []time.Time {
	out := make([]time.Time, len(e.Ended))
	for i := range out {
		age := e.Age
		if e.EndedAges != nil {
			age = e.EndedAges[i]
		}
		out[i] = now.Add(-age)
	}
	return out
}

// crashes returns the number of known crashes. It is larger than the number of processes if
// restarted processes keep their identifier.
func (r *record) crashes() int { return max(r.ended.count(), int(r.rounds)) }

// transition returns the change from the standing was to the current one.
func (r *record) transition(now time.Time, content fingerprint.Fingerprint, was Standing) Transition {
	return Transition{Content: content, Was: was, Is: r.standing(now), Crashes: r.crashes(), Rounds: r.rounds, Blocks: r.blocks}
}

// getOrCreate returns the record of a request. If it creates one in a full table, it evicts
// another.
func (t *Table) getOrCreate(now time.Time, content fingerprint.Fingerprint) *record {
	r := t.records[content]
	if r != nil {
		return r
	}
	if len(t.records) >= maxRecords {
		t.evict(now)
	}
	r = &record{epoch: 1}
	t.records[content] = r
	return r
}

// evict removes the record of the lowest severity.
func (t *Table) evict(now time.Time) {
	var least fingerprint.Fingerprint
	var leastRecord *record
	for content, r := range t.records {
		if leastRecord == nil || r.compareSeverity(now, leastRecord) < 0 {
			least, leastRecord = content, r
		}
	}
	delete(t.records, least)
}

// compareSeverity compares two records by standing, then by the time of the last crash: the
// later one is more severe.
func (r *record) compareSeverity(now time.Time, other *record) int {
	if d := int(r.standing(now)) - int(other.standing(now)); d != 0 {
		return d
	}
	return r.lastCrash.Compare(other.lastCrash)
}

// Expire removes records past their retention, and marks suspects whose attempt still runs
// after shareSuspectAfter for sending to peers. Call it about once a second.
func (t *Table) Expire(now time.Time) {
	for content, r := range t.records {
		switch {
		case now.After(r.expiry(now)):
			delete(t.records, content)
		case r.unsent && r.standing(now) == Suspect && now.Sub(r.lastCrash) >= shareSuspectAfter:
			r.pending = true
		}
	}
}

func (r *record) expiry(now time.Time) time.Time {
	switch {
	case r.cleared():
		return r.lastCrash.Add(clearedRetention)
	case r.blocks > 0:
		return r.blockedUntil().Add(suspectRetention)
	case r.standing(now) == Suspect:
		return r.lastCrash.Add(suspectRetention)
	default:
		return r.lastCrash.Add(crashRetention)
	}
}

// Count returns the number of records by standing.
func (t *Table) Count(now time.Time) map[Standing]int {
	out := map[Standing]int{}
	for _, r := range t.records {
		out[r.standing(now)]++
	}
	return out
}
