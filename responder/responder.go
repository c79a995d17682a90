// Package responder writes the JSON responses of the HTTP interfaces.
package responder

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// RetryAfter is the value of the Retry-After header of 503 and 504 responses. The election of a control leader takes 1 to
// 2 s.
const RetryAfter = time.Second

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
	// Field is the name of the invalid field of the request, if any.
	Field string `json:"field,omitempty"`
	// Resend is true when the command may be sent again with the same id to learn its outcome.
	Resend bool `json:"resend,omitempty"`
}

// WriteJSON writes v as a JSON response with the status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, `{"error":"answer could not be encoded"}`, http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// WriteError writes an error response; field may be empty.
func WriteError(w http.ResponseWriter, status int, field, reason string) {
	WriteJSON(w, status, ErrorResponse{Error: reason, Field: field})
}

// WriteRetry writes an error response that asks the client to send the request again after RetryAfter.
func WriteRetry(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Retry-After", strconv.Itoa(int(RetryAfter/time.Second)))
	WriteJSON(w, status, ErrorResponse{Error: reason, Resend: true})
}
