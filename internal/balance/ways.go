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
	// Hedging is whether parts that are late are sent to another copy as well.
	Hedging Hedging
	// Verdicts is who learns that a copy has failed.
	Verdicts Verdicts
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

// Hedging is a way to hedge.
type Hedging string

// Ways to hedge.
const (
	// AtTail hedges what takes longer than nearly all answers.
	AtTail Hedging = ""
	// Never hedges nothing.
	Never Hedging = "never"
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
	{"hedging", []string{string(Never)}, func(w *Ways, s string) { w.Hedging = Hedging(s) }},
	{"verdicts", []string{string(Shared)}, func(w *Ways, s string) { w.Verdicts = Verdicts(s) }},
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
