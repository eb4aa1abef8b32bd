// Package refusal is the typed error of the request path. It always says
// whether the request ran, so that a caller knows what is safe to send again.
package refusal

import (
	"errors"
	"net/http"
	"time"
)

// Reason names why a request got no answer.
type Reason string

// Reasons, one for each way a request is turned away or fails.
const (
	BadRequest       Reason = "bad_request"
	NotFound         Reason = "not_found"
	MethodNotAllowed Reason = "method_not_allowed"
	BodyTooLarge     Reason = "body_too_large"
	HeaderTooLarge   Reason = "header_too_large"
	RequestTimeout   Reason = "request_timeout"
	Unauthenticated  Reason = "unauthenticated"
	UnknownKind      Reason = "unknown_kind"
	UnknownService   Reason = "unknown_service"
	NotReady         Reason = "not_ready"
	Stopping         Reason = "stopping"
	WrongVM          Reason = "wrong_vm"
	Overloaded       Reason = "overloaded"
	RateLimit        Reason = "rate_limit"
	ConcurrencyLimit Reason = "concurrency_limit"
	DeadlineTooShort Reason = "deadline_too_short"
	ForeignOperation Reason = "foreign_operation"
	OperationExpired Reason = "operation_expired"
	OperationRunning Reason = "operation_running"
	OperationAway    Reason = "operation_away"
	AnswerNotKept    Reason = "answer_not_kept"
	OutcomeUnknown   Reason = "outcome_unknown"
	NoSnapshot       Reason = "no_snapshot"
	CoverageTooLow   Reason = "coverage_too_low"
	UpstreamFailed   Reason = "upstream_failed"
	DeadlineExceeded Reason = "deadline_exceeded"
	PoisonRequest    Reason = "poison_request"
	SuspectHeld      Reason = "suspect_held"
)

// All is every reason, for metrics and the pages.
var All = []Reason{
	BadRequest, NotFound, MethodNotAllowed, BodyTooLarge, HeaderTooLarge,
	RequestTimeout, Unauthenticated, UnknownKind, UnknownService,
	NotReady, Stopping, WrongVM, Overloaded, RateLimit, ConcurrencyLimit,
	DeadlineTooShort, ForeignOperation, OperationExpired, OperationRunning,
	OperationAway, AnswerNotKept, OutcomeUnknown,
	NoSnapshot, CoverageTooLow, UpstreamFailed, DeadlineExceeded,
	PoisonRequest, SuspectHeld,
}

// Ran says whether a refused request ran anywhere.
type Ran string

const (
	// NotRun is proof: no upstream ran any part of the request.
	NotRun Ran = "not_run"
	// Unknown means that some part may have run.
	Unknown Ran = "unknown"
	// DidRun means that upstreams ran parts of the request.
	DidRun Ran = "ran"
)

// Error is a refusal.
type Error struct {
	Reason Reason
	Ran    Ran
	// RetryAfter is when to come back; 0 means that coming back will not help.
	RetryAfter time.Duration
	Detail     string
}

// New makes a refusal of a request that did not run.
func New(reason Reason, detail string) *Error {
	return &Error{Reason: reason, Ran: NotRun, Detail: detail}
}

// After sets when the caller should come back.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Unproven withdraws the claim that the request did not run: this copy of it did
// not, but nobody has looked for others.
func (e *Error) Unproven() *Error {
	if e.Ran == NotRun {
		e.Ran = Unknown
	}
	return e
}

// Error implements error.
func (e *Error) Error() string {
	return string(e.Reason) + " (" + string(e.Ran) + "): " + e.Detail
}

// From finds the refusal in an error chain; anything else becomes a refusal
// whose outcome is unknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Reason: UpstreamFailed, Ran: Unknown, Detail: err.Error()}
}

// Status is the HTTP status that goes with the reason.
func (r Reason) Status() int {
	switch r {
	case BadRequest, ForeignOperation, OperationExpired:
		return http.StatusBadRequest
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case Unauthenticated:
		return http.StatusUnauthorized
	case UnknownKind, NotFound:
		return http.StatusNotFound
	case WrongVM:
		return http.StatusMisdirectedRequest
	case MethodNotAllowed:
		return http.StatusMethodNotAllowed
	case HeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case RequestTimeout:
		return http.StatusRequestTimeout
	case OperationRunning, AnswerNotKept:
		return http.StatusConflict
	case RateLimit, ConcurrencyLimit:
		return http.StatusTooManyRequests
	case OutcomeUnknown, UpstreamFailed:
		return http.StatusBadGateway
	case DeadlineExceeded, CoverageTooLow:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}
