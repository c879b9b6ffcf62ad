package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// refusalBody is the OpenAI error format with the router's own fields added.
type refusalBody struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	// Reason is one of the reasons of package outcome. Run is "not_run" if it is certain that no engine or service ran
	// the request. Otherwise Run is "may_have_run".
	Reason    outcome.Reason `json:"reason"`
	Run       string         `json:"run"`
	RequestID string         `json:"request_id"`
}

func refusalOf(o outcome.Outcome, id string) refusalBody {
	run := "may_have_run"
	if o.Kind == outcome.NotRun {
		run = "not_run"
	}
	return refusalBody{refusalError{
		Message:   o.Message(),
		Type:      errorType(o.Reason.Status()),
		Code:      o.Reason.String(),
		Reason:    o.Reason,
		Run:       run,
		RequestID: id,
	}}
}

// errorType returns the OpenAI error type that corresponds to an HTTP status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

func writeRefusal(w http.ResponseWriter, o outcome.Outcome, id string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if o.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(o.RetryAfter.Seconds()))))
	}
	w.WriteHeader(o.Reason.Status())
	_ = json.NewEncoder(w).Encode(refusalOf(o, id))
}
