package refusal

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// row is one line of the page's table: reasons, status, and the rest.
var row = regexp.MustCompile("^\\| ((?:`[a-z_]+`(?:, )?)+) \\| ([0-9]{3}) \\| ")

var quoted = regexp.MustCompile("`([a-z_]+)`")

// Symptom: a caller meets a reason that no page explains, or another status than
// the page gives.
// Sequence: a reason is added or its status changed; the page stays as it was.
// Cause: two lists that nobody compares.
func TestPageHasEveryReason(t *testing.T) {
	page, err := os.ReadFile("../../docs/INTERFACES.md")
	if err != nil {
		t.Fatal(err)
	}
	statuses := statusesOf(string(page))
	for _, r := range All {
		if got, ok := statuses[r]; !ok || got != r.Status() {
			t.Errorf("%s: the page says status %d, the code %d", r, got, r.Status())
		}
		delete(statuses, r)
	}
	for r := range statuses {
		t.Errorf("%s stands in the page and not in All", r)
	}
}

// statusesOf reads the table of refusals of the caller interface.
func statusesOf(page string) map[Reason]int {
	_, section, _ := strings.Cut(page, "\n## Caller interface\n")
	section, _, _ = strings.Cut(section, "\n## ")
	_, table, _ := strings.Cut(section, "\n### Refusals\n")
	out := map[Reason]int{}
	for line := range strings.Lines(table) {
		m := row.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		status, _ := strconv.Atoi(m[2])
		for _, q := range quoted.FindAllStringSubmatch(m[1], -1) {
			out[Reason(q[1])] = status
		}
	}
	return out
}

// Symptom: a caller is told "not run" of what nobody has proved.
// Sequence: an error that is no refusal reaches the caller's answer.
// Cause: a default that claims too much.
func TestOtherErrorsProveNothing(t *testing.T) {
	if e := From(os.ErrDeadlineExceeded); e.Ran != Unknown {
		t.Errorf("%s", e)
	}
	kept := New(RateLimit, "")
	if e := From(kept); e != kept {
		t.Errorf("%s", e)
	}
	ran := &Error{Reason: UpstreamFailed, Ran: DidRun}
	if ran.Unproven().Ran != DidRun || kept.Unproven().Ran != Unknown {
		t.Error("Unproven must withdraw a proof and nothing else")
	}
}
