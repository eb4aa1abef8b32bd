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

// ErrorDetail holds the reason of a refusal, whether the request ran and when to
// retry.
type ErrorDetail struct {
	Reason  refusal.Reason `json:"reason"`
	Ran     refusal.Ran    `json:"ran"`
	Message string         `json:"message"`
	// RetryAfterMS is absent if a retry cannot succeed.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
	// Operation is the idempotency key of a non-idempotent request.
	Operation string    `json:"operation,omitempty"`
	Coverage  *Coverage `json:"coverage,omitempty"`
}

// Reply is an answer or a refusal as sent to a caller. It is immutable, because
// all callers of one operation share it.
type Reply struct {
	// Status is the HTTP status.
	Status    int
	RequestID string
	// RetryAfter is 0 if a retry cannot succeed.
	RetryAfter time.Duration
	// Body is JSON.
	Body []byte
}

// replyOverhead is the approximate memory of a stored reply without its body, in
// bytes.
const replyOverhead = 256

// Size returns the approximate memory of the reply in bytes.
func (r *Reply) Size() int {
	return replyOverhead + len(r.Body)
}

// Answered returns the reply for an answer.
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

// Refused returns the reply for a refusal.
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
	// ErrorBody holds only strings and numbers, so Marshal cannot fail.
	body, _ := json.Marshal(ErrorBody{Error: d})
	return &Reply{Status: f.Reason.Status(), RequestID: f.RequestID, RetryAfter: f.RetryAfter, Body: body}
}
