package balance

import (
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// Ways is how each matter is decided. The zero value is how the project decides.
type Ways struct {
	// Choice is which copy gets a part.
	Choice Choice
	// Refusals is what a refusal is taken for.
	Refusals Refusals
	// Limit bounds the queries under way.
	Limit Limit
	// Ending is when an answer leaves without the parts that are late.
	Ending Ending
	// Late is how long an answer that is late waits for more parts.
	Late Late
	// Hedging is whether parts that are late are sent to another copy as well.
	Hedging Hedging
	// Claims is the order of the claims on the budget of extra sends.
	Claims Claims
	// Verdicts is who learns that a copy has failed.
	Verdicts Verdicts
	// Classes is what limits the open sends of the less urgent kinds.
	Classes Classes
}

// Choice is a way to choose a copy.
type Choice string

// Choices.
const (
	// LeastExpected is the copy of which the soonest answer is expected.
	LeastExpected Choice = ""
	// TwoChoices is the better of two drawn copies.
	TwoChoices Choice = "two_choices"
	// AnyCopy is a drawn copy.
	AnyCopy Choice = "any"
)

// Refusals is a way to take refusals.
type Refusals string

// What refusals are taken for.
const (
	// ByLoad takes them for faults where free slots are reported.
	ByLoad Refusals = ""
	// AllFull takes all for want of room.
	AllFull Refusals = "all_full"
	// AllFaults takes all for faults.
	AllFaults Refusals = "all_faults"
)

// Limit is a way to bound the queries under way.
type Limit string

// Limits.
const (
	// ByClass has a limit for each class, cut by parts that found no room or were held up at
	// the VM. Queries wait for a place, and callers that come back go first.
	ByClass Limit = ""
	// ByFullParts has one limit for all classes, cut by the parts that found no room, of late
	// queries by a single one.
	ByFullParts Limit = "full_parts"
	// ByManyFullParts is ByFullParts, but cuts by a quarter of the parts, whether the query is
	// late or not.
	ByManyFullParts Limit = "many_full_parts"
	// NoLimit bounds nothing.
	NoLimit Limit = "none"
	// ByLateAnswers cuts one limit by answers that came after their objective.
	ByLateAnswers Limit = "late_answers"
	// ByClosedWindows is ByFullParts, but also counts the parts that waited a quarter of the
	// objective for an upstream whose window was closed.
	ByClosedWindows Limit = "closed_windows"
	// ByThreshold admits from a threshold of class and caller on, which follows the mean time
	// that parts queue.
	ByThreshold Limit = "priority_threshold"
)

// Ending is a way to end a query.
type Ending string

// Endings.
const (
	// AtObjective waits for parts up to the objective.
	AtObjective Ending = ""
	// AtFloor ends with the least coverage that is allowed.
	AtFloor Ending = "floor"
	// AtDeadline waits for all parts as long as the caller does.
	AtDeadline Ending = "deadline"
)

// Late is a way to end a query that is late.
type Late string

// Waits of late answers.
const (
	// NoWait waits for nothing.
	NoWait Late = ""
	// ShortWait waits 25 ms, LongWait 100 ms.
	ShortWait Late = "25ms"
	LongWait  Late = "100ms"
	// LongWaitFromAnswerBy also has answers wait 100 ms that reach the least coverage after they
	// should have left, though they would still be in time.
	LongWaitFromAnswerBy Late = "100ms_from_answer_by"
)

// Hedging is a way to hedge.
type Hedging string

// Ways to hedge.
const (
	// UnlessBusy hedges what takes longer than nearly all answers, unless calls to the other copy
	// have to wait.
	UnlessBusy Hedging = ""
	// Unconditional hedges all that takes longer than nearly all answers, and tries what the
	// budget refuses again after 25 ms.
	Unconditional Hedging = "unconditional"
	// Never hedges nothing.
	Never Hedging = "never"
)

// Claims is an order of the claims on the budget.
type Claims string

// Orders of claims.
const (
	// ByUrgency has the hedges of less urgent kinds leave a reserve for those of the most urgent.
	ByUrgency Claims = ""
	// AllHedgesEqual has all hedges leave a reserve for retries only.
	AllHedgesEqual Claims = "equal"
)

// Verdicts is a way to share what was seen of copies.
type Verdicts string

// Ways to share.
const (
	// Own keeps what a VM has seen to itself.
	Own Verdicts = ""
	// Shared tells failures to the other VMs of the data centre.
	Shared Verdicts = "shared"
)

// Classes is a way to limit the open sends of the less urgent kinds at an upstream.
type Classes string

// Limits by class.
const (
	// ByQueue limits them while a more urgent kind sees a queue there.
	ByQueue Classes = ""
	// NoClasses limits nothing.
	NoClasses Classes = "none"
	// EqualShares limits them to the VM's equal share of the slots at all times.
	EqualShares Classes = "equal_shares"
)

// alternatives is every way beside the project's, by matter.
var alternatives = []struct {
	matter string
	ways   []string
	set    func(*Ways, string)
}{
	{"choice", []string{string(TwoChoices), string(AnyCopy)}, func(w *Ways, s string) { w.Choice = Choice(s) }},
	{"refusals", []string{string(AllFull), string(AllFaults)}, func(w *Ways, s string) { w.Refusals = Refusals(s) }},
	{"limit", []string{string(NoLimit), string(ByFullParts), string(ByLateAnswers), string(ByManyFullParts), string(ByClosedWindows), string(ByThreshold)}, func(w *Ways, s string) { w.Limit = Limit(s) }},
	{"ending", []string{string(AtFloor), string(AtDeadline)}, func(w *Ways, s string) { w.Ending = Ending(s) }},
	{"late", []string{string(ShortWait), string(LongWait), string(LongWaitFromAnswerBy)}, func(w *Ways, s string) { w.Late = Late(s) }},
	{"hedging", []string{string(Unconditional), string(Never)}, func(w *Ways, s string) { w.Hedging = Hedging(s) }},
	{"claims", []string{string(AllHedgesEqual)}, func(w *Ways, s string) { w.Claims = Claims(s) }},
	{"verdicts", []string{string(Shared)}, func(w *Ways, s string) { w.Verdicts = Verdicts(s) }},
	{"classes", []string{string(NoClasses), string(EqualShares)}, func(w *Ways, s string) { w.Classes = Classes(s) }},
}

// Standing names the ways that the project decides by.
const Standing = "standing"

// WayNames is the name of every way: Standing, and matter=way for one that is changed.
func WayNames() []string {
	names := []string{Standing}
	for _, a := range alternatives {
		for _, way := range a.ways {
			names = append(names, a.matter+"="+way)
		}
	}
	return names
}

// ParseWays reads the name of a way.
func ParseWays(name string) (Ways, error) {
	var w Ways
	if name == Standing {
		return w, nil
	}
	matter, way, _ := strings.Cut(name, "=")
	for _, a := range alternatives {
		if a.matter == matter && slices.Contains(a.ways, way) {
			a.set(&w, way)
			return w, nil
		}
	}
	return w, trace.BadParameter("there is no way %q, only %s", name, strings.Join(WayNames(), ", "))
}
