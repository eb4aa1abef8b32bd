// Package refusal provides the error type of the request path. Each error states whether the
// request ran, so that a caller knows whether a retry is safe.
package refusal

import (
	"errors"
	"net/http"
	"time"
)

// Reason identifies why a request was refused or failed.
type Reason string

// Reasons.
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

// All lists every reason, for metrics and the documentation.
var All = []Reason{
	BadRequest, NotFound, MethodNotAllowed, BodyTooLarge, HeaderTooLarge,
	RequestTimeout, Unauthenticated, UnknownKind, UnknownService,
	NotReady, Stopping, WrongVM, Overloaded, RateLimit, ConcurrencyLimit,
	DeadlineTooShort, ForeignOperation, OperationExpired, OperationRunning,
	OperationAway, AnswerNotKept, OutcomeUnknown,
	NoSnapshot, CoverageTooLow, UpstreamFailed, DeadlineExceeded,
	PoisonRequest, SuspectHeld,
}

// Ran states whether any upstream ran a refused request.
type Ran string

const (
	// NotRun means that provably no upstream ran any part of the request.
	NotRun Ran = "not_run"
	// Unknown means that upstreams may have run parts of the request.
	Unknown Ran = "unknown"
	// DidRun means that upstreams ran parts of the request.
	DidRun Ran = "ran"
)

// Error is the refusal or failure of a request.
type Error struct {
	Reason Reason
	Ran    Ran
	// RetryAfter is how long the caller should wait before a retry; 0 means that a retry does
	// not help.
	RetryAfter time.Duration
	Detail     string
}

// New returns the refusal of a request that did not run.
func New(reason Reason, detail string) *Error {
	return &Error{Reason: reason, Ran: NotRun, Detail: detail}
}

// WithRetryAfter sets RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithUnproven changes NotRun to Unknown and returns e. It is for refusals made without a check for
// other attempts of the request: this attempt did not run, but another may have.
func (e *Error) WithUnproven() *Error {
	if e.Ran == NotRun {
		e.Ran = Unknown
	}
	return e
}

// Error implements the error interface.
func (e *Error) Error() string {
	return string(e.Reason) + " (" + string(e.Ran) + "): " + e.Detail
}

// From returns the *Error in err's chain. If there is none, it returns an UpstreamFailed error
// with outcome Unknown and err's text as detail.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Reason: UpstreamFailed, Ran: Unknown, Detail: err.Error()}
}

// Status returns the HTTP status code of the reason.
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
