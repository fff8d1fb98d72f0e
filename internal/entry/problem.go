package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/verdict"
)

// problem is a problem document (RFC 9457).
type problem struct {
	Type      string          `json:"type"`
	Title     string          `json:"title"`
	Status    int             `json:"status"`
	Detail    string          `json:"detail"`
	Verdict   verdict.Verdict `json:"verdict"`
	Code      verdict.Code    `json:"code"`
	RequestID string          `json:"requestId"`
}

// errorResponse is how an error code is answered.
type errorResponse struct {
	status int
	// retryAfter is the Retry-After header, zero where a retry doesn't help.
	retryAfter time.Duration
}

var errorResponses = map[verdict.Code]errorResponse{
	verdict.CodeBadRequest:       {status: http.StatusBadRequest},
	verdict.CodeBodyTooLarge:     {status: http.StatusRequestEntityTooLarge},
	verdict.CodeBodyTimeout:      {status: http.StatusRequestTimeout},
	verdict.CodeUnknownQueue:     {status: http.StatusNotFound},
	verdict.CodeUnauthorized:     {status: http.StatusUnauthorized},
	verdict.CodeKeyReused:        {status: http.StatusUnprocessableEntity},
	verdict.CodeInProgress:       {status: http.StatusConflict, retryAfter: time.Second},
	verdict.CodeHistoryLost:      {status: http.StatusConflict},
	verdict.CodeAlreadyRan:       {status: http.StatusConflict},
	verdict.CodeOutcomeUnknown:   {status: http.StatusConflict},
	verdict.CodeQueueFull:        {status: http.StatusTooManyRequests, retryAfter: time.Second},
	verdict.CodeDeadline:         {status: http.StatusGatewayTimeout},
	verdict.CodeLimit:            {status: http.StatusTooManyRequests, retryAfter: time.Second},
	verdict.CodeNoInstance:       {status: http.StatusServiceUnavailable, retryAfter: time.Second},
	verdict.CodeNotReady:         {status: http.StatusServiceUnavailable, retryAfter: time.Second},
	verdict.CodeStopping:         {status: http.StatusServiceUnavailable, retryAfter: time.Second},
	verdict.CodeCancelled:        {status: http.StatusGatewayTimeout},
	verdict.CodeNotHome:          {status: http.StatusServiceUnavailable, retryAfter: time.Second},
	verdict.CodeTooManyHops:      {status: http.StatusServiceUnavailable, retryAfter: time.Second},
	verdict.CodePeer:             {status: http.StatusBadGateway, retryAfter: time.Second},
	verdict.CodeBackendRefused:   {status: http.StatusServiceUnavailable, retryAfter: time.Second},
	verdict.CodeBackendLost:      {status: http.StatusBadGateway},
	verdict.CodeAnswerIncomplete: {status: http.StatusBadGateway},
	verdict.CodeAnswerMismatch:   {status: http.StatusBadGateway},
	verdict.CodeUnrunnable:       {status: http.StatusUnprocessableEntity},
	verdict.CodeInternal:         {status: http.StatusInternalServerError},
}

func writeProblem(w http.ResponseWriter, requestID string, err error) {
	code := verdict.CodeOf(err)
	response, ok := errorResponses[code]
	if !ok {
		response = errorResponses[verdict.CodeInternal]
	}
	p := problem{
		Type:      "about:blank",
		Title:     http.StatusText(response.status),
		Status:    response.status,
		Detail:    detail(err),
		Verdict:   verdict.Of(err),
		Code:      code,
		RequestID: requestID,
	}
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Del("Content-Length")
	if response.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(response.retryAfter.Seconds())))
	}
	w.WriteHeader(response.status)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(p)
}

// detail returns the text for the caller: that of the failure itself, without
// its causes, which may contain addresses.
func detail(err error) string {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e.Detail
	}
	return "internal error"
}
