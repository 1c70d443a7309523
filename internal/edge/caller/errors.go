// This file defines the errors that callers see, in the format of the OpenAI protocol.

package caller

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"
)

// apiError is an error answer to a caller.
type apiError struct {
	status     int
	kind       string // "type" on the wire
	code       string
	param      string // invalid request field
	message    string
	notRun     bool
	retryAfter time.Duration
	delivered  int  // number of tokens sent to the caller before the error
	resumable  bool // whether the resume token may still work
}

// Error implements error.
func (e *apiError) Error() string { return e.code + ": " + e.message }

// Error types of the OpenAI protocol.
const (
	kindInvalid    = "invalid_request_error"
	kindAuth       = "authentication_error"
	kindPermission = "permission_error"
	kindRateLimit  = "rate_limit_error"
	kindServer     = "server_error"
)

// wireError is the JSON form of an apiError.
type wireError struct {
	Error wireErrorBody `json:"error"`
}

type wireErrorBody struct {
	Message string         `json:"message"`
	Type    string         `json:"type"`
	Code    string         `json:"code"`
	Param   *string        `json:"param"`
	Ferry   wireErrorFerry `json:"ferry"`
}

// wireErrorFerry holds the fields that this system adds to an error.
type wireErrorFerry struct {
	NotRun       bool  `json:"notRun"`
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	Delivered    int   `json:"delivered,omitempty"`
	Resumable    bool  `json:"resumable,omitempty"`
}

func (e *apiError) wire() wireError {
	body := wireErrorBody{Message: e.message, Type: e.kind, Code: e.code, Ferry: wireErrorFerry{
		NotRun:       e.notRun,
		RetryAfterMs: e.retryAfter.Milliseconds(),
		Delivered:    e.delivered,
		Resumable:    e.resumable,
	}}
	if e.param != "" {
		body.Param = &e.param
	}
	return wireError{Error: body}
}

// writeError writes e as the complete answer.
func writeError(w http.ResponseWriter, e *apiError) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerNotRun, strconv.FormatBool(e.notRun))
	if e.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.retryAfter.Seconds()))))
	}
	w.WriteHeader(e.status)
	_ = json.NewEncoder(w).Encode(e.wire()) // fails only if the caller has left
}

// invalid returns the error for an invalid request, which was not run.
func invalid(param, message string) *apiError {
	return &apiError{status: http.StatusBadRequest, kind: kindInvalid, code: "invalidRequest", param: param, message: message, notRun: true}
}

// refusalStatus holds the status by reason. Other reasons, such as a lack of capacity, get status 503.
var refusalStatus = map[string]int{
	ReasonAccountLimit: http.StatusTooManyRequests,
	ReasonQuarantined:  http.StatusUnprocessableEntity,
	ReasonKeyReused:    http.StatusUnprocessableEntity,
	ReasonUnknownModel: http.StatusNotFound,
}

// errNotReady returns the refusal of a node that may not accept new work.
func errNotReady() *Refusal {
	return &Refusal{Reason: ReasonNotReady, Message: "node does not hold a configuration it may act on", NotRun: true, RetryAfter: notReadyRetryAfter}
}

// fromError converts an error of a Dispatcher or Ledger to an apiError.
func fromError(err error) *apiError {
	var ref *Refusal
	switch {
	case errors.As(err, &ref):
		return fromRefusal(ref)
	case errors.Is(err, ErrOutcomeUnknown):
		return &apiError{status: http.StatusBadGateway, kind: kindServer, code: "outcomeUnknown", message: err.Error()}
	}
	return &apiError{status: http.StatusInternalServerError, kind: kindServer, code: "internal", message: err.Error()}
}

func fromRefusal(ref *Refusal) *apiError {
	e := &apiError{
		status: http.StatusServiceUnavailable, kind: kindServer, code: ref.Reason, message: ref.Message,
		notRun: ref.NotRun, retryAfter: ref.RetryAfter,
	}
	if status, ok := refusalStatus[ref.Reason]; ok {
		e.status = status
		e.kind = kindInvalid
	}
	if e.status == http.StatusTooManyRequests {
		e.kind = kindRateLimit
	}
	return e
}
