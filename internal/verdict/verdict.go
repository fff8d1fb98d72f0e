// Package verdict defines whether a failed request may have run at a backend
// server.
//
// Every failure in the handling of a request carries a verdict, and retries,
// refusals and idempotency records depend on the verdict alone. The package is
// independent of HTTP, peers and the log.
package verdict

import (
	"errors"
	"fmt"
)

// Verdict is what is known about the execution of a request.
type Verdict uint8

const (
	// NotRun means that the request has not started and never will.
	NotRun Verdict = iota
	// MayHaveRun means that it is unknown whether the request has started.
	MayHaveRun
	// Ran means that the request has started at a backend server.
	Ran
)

// String returns the verdict as it is written in responses and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	case Ran:
		return "ran"
	default:
		return fmt.Sprintf("verdict(%d)", uint8(v))
	}
}

// Parse is the inverse of String. For an unknown text it returns an error and
// MayHaveRun, the verdict that rules nothing out.
func Parse(s string) (Verdict, error) {
	switch s {
	case "not-run":
		return NotRun, nil
	case "may-have-run":
		return MayHaveRun, nil
	case "ran":
		return Ran, nil
	default:
		return MayHaveRun, fmt.Errorf("unknown verdict %q", s)
	}
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(b []byte) error {
	parsed, err := Parse(string(b))
	*v = parsed
	return err
}

// Code is a stable, machine-readable name of a refusal or failure. Callers
// see it in the "code" member of a problem document.
type Code string

// Codes of refusals and failures.
const (
	CodeBadRequest       Code = "bad-request"
	CodeBodyTooLarge     Code = "body-too-large"
	CodeBodyTimeout      Code = "body-timeout"
	CodeUnknownQueue     Code = "unknown-queue"
	CodeUnauthorized     Code = "unauthorized"
	CodeKeyReused        Code = "idempotency-key-reused"
	CodeInProgress       Code = "in-progress"
	CodeHistoryLost      Code = "history-lost"
	CodeAlreadyRan       Code = "already-ran"
	CodeOutcomeUnknown   Code = "outcome-unknown"
	CodeQueueFull        Code = "queue-full"
	CodeDeadline         Code = "deadline"
	CodeLimit            Code = "team-limit"
	CodeNoInstance       Code = "no-instance"
	CodeNotReady         Code = "not-ready"
	CodeStopping         Code = "stopping"
	CodeCancelled        Code = "cancelled"
	CodeNotHome          Code = "not-home"
	CodeTooManyHops      Code = "too-many-hops"
	CodePeer             Code = "peer-unreachable"
	CodeBackendRefused   Code = "backend-refused"
	CodeBackendLost      Code = "backend-lost"
	CodeAnswerIncomplete Code = "answer-incomplete"
	CodeAnswerMismatch   Code = "answer-mismatch"
	CodeUnrunnable       Code = "unrunnable"
	CodeInternal         Code = "internal"
)

// Error is a failure with its verdict.
type Error struct {
	Verdict Verdict
	Code    Code
	Detail  string
	Cause   error
}

// Error implements error.
func (e *Error) Error() string {
	msg := fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Detail)
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.Cause }

// New returns an Error without a cause.
func New(v Verdict, c Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error that carries cause.
func Wrap(cause error, v Verdict, c Code, detail string) *Error {
	return &Error{Verdict: v, Code: c, Detail: detail, Cause: cause}
}

// Of returns the verdict of err: that of the Error in its chain, NotRun for
// nil, and MayHaveRun for any error that carries no verdict.
func Of(err error) Verdict {
	if err == nil {
		return NotRun
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// CodeOf returns the code of err, or CodeInternal when it carries none.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return CodeInternal
}
