package frontend

import (
	"encoding/json"
	"net/http"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/refusal"
)

// ErrorBody is the JSON of a refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says why, whether the request ran, and when to come back.
type ErrorDetail struct {
	Reason  refusal.Reason `json:"reason"`
	Ran     refusal.Ran    `json:"ran"`
	Message string         `json:"message"`
	// RetryAfterMS is absent when coming back will not help.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
	// Operation is the key of a non-idempotent request.
	Operation string    `json:"operation,omitempty"`
	Coverage  *Coverage `json:"coverage,omitempty"`
}

// Reply is an answer or a refusal in the form a caller gets it. It is immutable:
// the callers of one operation share it.
type Reply struct {
	// Status is the HTTP status.
	Status    int
	RequestID string
	// RetryAfter is 0 when coming back will not help.
	RetryAfter time.Duration
	// Body is JSON.
	Body []byte
}

// replyOverhead is about the memory of a kept reply besides its body.
const replyOverhead = 256

// Size is about how many bytes the reply holds in memory.
func (r *Reply) Size() int {
	return replyOverhead + len(r.Body)
}

// Answered is the reply that carries an answer.
func Answered(a *Answer) *Reply {
	body, err := json.Marshal(a)
	if err != nil {
		return Refused(&Failure{RequestID: a.RequestID, Operation: a.Operation, Error: &refusal.Error{
			Reason: refusal.UpstreamFailed,
			Ran:    refusal.DidRun,
			Detail: "the answer cannot be written as JSON: " + err.Error(),
		}})
	}
	return &Reply{Status: http.StatusOK, RequestID: a.RequestID, Body: body}
}

// Refused is the reply that carries a refusal.
func Refused(f *Failure) *Reply {
	d := ErrorDetail{
		Reason:    f.Reason,
		Ran:       f.Ran,
		Message:   f.Detail,
		RequestID: f.RequestID,
		Operation: f.Operation,
		Coverage:  f.Coverage,
	}
	if f.RetryAfter > 0 {
		d.RetryAfterMS = max(1, f.RetryAfter.Milliseconds())
	}
	// Strings and numbers only: it cannot fail.
	body, _ := json.Marshal(ErrorBody{Error: d})
	return &Reply{Status: f.Reason.Status(), RequestID: f.RequestID, RetryAfter: f.RetryAfter, Body: body}
}
