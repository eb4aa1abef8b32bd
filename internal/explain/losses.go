package explain

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/logring"
)

// Outcomes of requests that were answered, but not as their contract promises.
const (
	// OutcomeLate is an answer after the route's objective.
	OutcomeLate = "late"
	// OutcomePartial is an answer in time that leaves shards out.
	OutcomePartial = "partial"
)

// Loss is what was lost alike at one VM in one second.
type Loss struct {
	// Second is when the requests ended, to the second, by the VM's clock.
	Second time.Time `json:"second"`
	// Outcome is the reason of a refusal or failure, OutcomeLate or OutcomePartial.
	Outcome  string `json:"outcome"`
	VM       string `json:"vm"`
	Requests int    `json:"requests"`
	// Stages holds the mean times in milliseconds.
	Stages Stages `json:"stages"`
	// Held is the mean in milliseconds of the longest wait of a send because of the limit on
	// the open sends of its class.
	Held float64 `json:"held"`
	// BudgetRefusals is how many extra sends the retry budget did not allow, in the
	// mean of the requests; Missing is shards left out, Sends how often upstreams
	// were asked, InFlight the requests under way at the VM.
	BudgetRefusals float64 `json:"budget_refusals"`
	Missing        float64 `json:"missing"`
	Sends          float64 `json:"sends"`
	InFlight       float64 `json:"in_flight"`
	// Example is the id of one of them.
	Example string `json:"example"`
}

// Stages is where the time of requests went, in milliseconds.
type Stages struct {
	Age      float64 `json:"age"`
	Queued   float64 `json:"queued"`
	Plan     float64 `json:"plan"`
	Resend   float64 `json:"resend"`
	Connect  float64 `json:"connect"`
	Upstream float64 `json:"upstream"`
	Finish   float64 `json:"finish"`
}

// add adds up two accounts, the second one times a factor.
func (s *Stages) add(other *Stages, factor float64) {
	s.Age += factor * other.Age
	s.Queued += factor * other.Queued
	s.Plan += factor * other.Plan
	s.Resend += factor * other.Resend
	s.Connect += factor * other.Connect
	s.Upstream += factor * other.Upstream
	s.Finish += factor * other.Finish
}

// ended is the line that tells how a request ended.
type ended struct {
	Stages
	Time     time.Time `json:"ts"`
	Message  string    `json:"msg"`
	VM       string    `json:"vm"`
	Request  string    `json:"request"`
	Reason   string    `json:"reason"`
	Late     bool      `json:"late"`
	Missing  float64   `json:"missing"`
	Sends    float64   `json:"sends"`
	Budget   float64   `json:"budget_refusals"`
	Held     float64   `json:"held"`
	InFlight float64   `json:"in_flight"`
}

// outcome is empty for a request that ended as promised.
func (e *ended) outcome() string {
	switch {
	case e.Reason != "":
		return e.Reason
	case e.Late:
		return OutcomeLate
	case e.Missing > 0:
		return OutcomePartial
	default:
		return ""
	}
}

// place is what requests have in common that are counted together.
type place struct {
	second      time.Time
	outcome, vm string
}

// Losses reads logs of any number of VMs and counts the requests that did not end
// as their contract promises, by second, outcome and VM, in that order.
func Losses(logs ...io.Reader) ([]Loss, error) {
	counted := map[place]*Loss{}
	err := scan(logs, func(_ int, raw []byte) {
		var e ended
		if json.Unmarshal(raw, &e) != nil || e.Message != logring.RequestEnded || e.outcome() == "" {
			return
		}
		p := place{e.Time.Truncate(time.Second), e.outcome(), e.VM}
		l := counted[p]
		if l == nil {
			l = &Loss{Second: p.second, Outcome: p.outcome, VM: p.vm, Example: e.Request}
			counted[p] = l
		}
		l.count(&e)
	})
	if err != nil {
		return nil, err
	}
	return sorted(counted), nil
}

// count takes one more request into the means.
func (l *Loss) count(e *ended) {
	l.Requests++
	weight := 1 / float64(l.Requests)
	old := l.Stages
	l.Stages.add(&old, -weight)
	l.Stages.add(&e.Stages, weight)
	l.BudgetRefusals += weight * (e.Budget - l.BudgetRefusals)
	l.Held += weight * (e.Held - l.Held)
	l.Missing += weight * (e.Missing - l.Missing)
	l.Sends += weight * (e.Sends - l.Sends)
	l.InFlight += weight * (e.InFlight - l.InFlight)
}

func sorted(counted map[place]*Loss) []Loss {
	out := make([]Loss, 0, len(counted))
	for _, l := range counted {
		out = append(out, *l)
	}
	slices.SortFunc(out, func(a, b Loss) int {
		return cmp.Or(a.Second.Compare(b.Second), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.VM, b.VM))
	})
	return out
}
