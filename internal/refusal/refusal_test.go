package refusal

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// tableRow matches a row of the page's table: reasons, status code, and further columns.
var tableRow = regexp.MustCompile("^\\| ((?:`[a-z_]+`(?:, )?)+) \\| ([0-9]{3}) \\| ")

var quotedReason = regexp.MustCompile("`([a-z_]+)`")

// Guards against a reason or status code that the documentation lacks, when a reason is added or
// its status changes and the page is not updated.
func TestPageListsEveryReason(t *testing.T) {
	page, err := os.ReadFile("../../docs/INTERFACES.md")
	if err != nil {
		t.Fatal(err)
	}
	statuses := parseRefusalTable(string(page))
	for _, r := range All {
		if got, ok := statuses[r]; !ok || got != r.Status() {
			t.Errorf("%s: the page says status %d, the code %d", r, got, r.Status())
		}
		delete(statuses, r)
	}
	for r := range statuses {
		t.Errorf("%s is on the page but not in All", r)
	}
}

// parseRefusalTable returns the status codes by reason in the page's table of refusals.
func parseRefusalTable(page string) map[Reason]int {
	_, section, _ := strings.Cut(page, "\n## Caller interface\n")
	section, _, _ = strings.Cut(section, "\n## ")
	_, table, _ := strings.Cut(section, "\n### Refusals\n")
	out := map[Reason]int{}
	for line := range strings.Lines(table) {
		m := tableRow.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		status, _ := strconv.Atoi(m[2])
		for _, q := range quotedReason.FindAllStringSubmatch(m[1], -1) {
			out[Reason(q[1])] = status
		}
	}
	return out
}

// Guards against an answer that states "not run" without proof, when an error that is no refusal
// reaches the caller.
func TestOtherErrorsHaveUnknownOutcome(t *testing.T) {
	if e := From(os.ErrDeadlineExceeded); e.Ran != Unknown {
		t.Errorf("%s", e)
	}
	kept := New(RateLimit, "")
	if e := From(kept); e != kept {
		t.Errorf("%s", e)
	}
	ran := &Error{Reason: UpstreamFailed, Ran: DidRun}
	if ran.WithUnproven().Ran != DidRun || kept.WithUnproven().Ran != Unknown {
		t.Error("Unproven must change NotRun to Unknown and nothing else")
	}
}
