// Package decoder decodes JSON request bodies of limited size and explains why a body is invalid.
package decoder

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"
)

// BodyError is returned for an invalid request body. Status is the HTTP status of the response: 400 or 413.
type BodyError struct {
	Status int
	// Field is the name of the invalid field; empty if the body as a whole is invalid.
	Field  string
	Reason string
}

func (e *BodyError) Error() string { return e.Reason }

// JSON decodes the request body of at most limit bytes into v, which must be a pointer. Errors are *BodyError.
func JSON(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	return Strict(http.MaxBytesReader(w, r.Body, limit), v)
}

// Strict decodes one JSON object and rejects unknown fields and data after the object. Errors are *BodyError.
func Strict(r io.Reader, v any) error {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return Explain(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &BodyError{Status: http.StatusBadRequest, Reason: "data after the JSON object"}
	}
	return nil
}

// Explain converts an error of encoding/json or http.MaxBytesReader into a BodyError that states the cause.
func Explain(err error) *BodyError {
	var tooLarge *http.MaxBytesError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &tooLarge):
		return &BodyError{Status: http.StatusRequestEntityTooLarge, Reason: fmt.Sprintf("body is larger than %d bytes", tooLarge.Limit)}
	case errors.As(err, &typeErr):
		field := strings.ToLower(typeErr.Field)
		return &BodyError{Status: http.StatusBadRequest, Field: field, Reason: fmt.Sprintf("%q cannot be a %s", field, typeErr.Value)}
	}
	// encoding/json has no error type for unknown fields, only a message.
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return &BodyError{Status: http.StatusBadRequest, Field: strings.Trim(field, `"`), Reason: "unknown field " + field}
	}
	return &BodyError{Status: http.StatusBadRequest, Reason: "malformed JSON: " + err.Error()}
}
