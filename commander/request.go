package commander

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/decoder"
)

// request is a command as decoded from the body, without the fields that describe the system.
type request struct {
	applier.Command
	// allowedMs is the time limit of a rollout from its acceptance; zero if the request has a deadline.
	allowedMs int64
}

// commandBody is the external JSON form of a command.
type commandBody struct {
	ID   string          `json:"id"`
	Op   string          `json:"op"`
	Args json.RawMessage `json:"args"`
	If   *uint64         `json:"if"`
}

// Arguments of the operations, in their external JSON form.
type (
	applyArgs struct {
		Config json.RawMessage `json:"config"`
		Force  bool            `json:"force"`
	}
	drainArgs struct {
		DC     string `json:"dc"`
		Server string `json:"server"`
		Force  bool   `json:"force"`
	}
	undrainArgs struct {
		DC     string `json:"dc"`
		Server string `json:"server"`
	}
	rolloutArgs struct {
		Service string `json:"service"`
		To      string `json:"to"`
		// By is the time limit in ms, Deadline is in Unix ms. Exactly one of them is set.
		By       *int64 `json:"by"`
		Deadline *int64 `json:"deadline"`
	}
	rollbackArgs struct {
		Service string `json:"service"`
		Force   bool   `json:"force"`
	}
	replaceArgs struct {
		Host string `json:"host"`
		With string `json:"with"`
	}
)

// requestError describes a malformed request; field is the path of the invalid field.
type requestError struct{ field, reason string }

func missingField(field string) *requestError {
	return &requestError{field, fmt.Sprintf("%q is missing", field)}
}

// parse decodes and validates a command body. It rejects unknown fields.
func parse(data []byte) (request, *requestError) {
	var b commandBody
	var r request
	if reqErr := decodeStrict(data, &b, ""); reqErr != nil {
		return r, reqErr
	}
	if reqErr := checkID(b.ID); reqErr != nil {
		return r, reqErr
	}
	r.ID = b.ID
	r.Op = b.Op
	r.ExpectedVersion = b.If
	if len(b.Args) == 0 || string(b.Args) == "null" {
		return r, missingField("args")
	}
	return r, r.parseArgs(b.Args)
}

func checkID(id string) *requestError {
	if id == "" {
		return missingField("id")
	}
	if len(id) > applier.MaxIDBytes {
		return &requestError{"id", fmt.Sprintf("%q is above %d bytes", "id", applier.MaxIDBytes)}
	}
	for _, c := range id {
		if c <= ' ' || c > '~' || c == '/' {
			return &requestError{"id", `"id" may hold only printable ASCII without spaces and slashes`}
		}
	}
	return nil
}

func (r *request) parseArgs(data []byte) *requestError {
	switch r.Op {
	case applier.OpApply:
		return r.parseApply(data)
	case applier.OpDrain:
		return r.parseDrain(data)
	case applier.OpUndrain:
		return r.parseUndrain(data)
	case applier.OpRollout:
		return r.parseRollout(data)
	case applier.OpRollback:
		return r.parseRollback(data)
	case applier.OpReplace:
		return r.parseReplace(data)
	case "":
		return missingField("op")
	}
	return &requestError{"op", fmt.Sprintf("unknown op %q", r.Op)}
}

func (r *request) parseApply(data []byte) *requestError {
	var a applyArgs
	if reqErr := decodeStrict(data, &a, "args"); reqErr != nil {
		return reqErr
	}
	if len(a.Config) == 0 || string(a.Config) == "null" {
		return missingField("args.config")
	}
	cfg, err := applier.DecodeConfig(a.Config)
	if err != nil {
		return newJSONError(err, "args.config")
	}
	r.Args.Config = cfg
	r.Force = a.Force
	return nil
}

func (r *request) parseDrain(data []byte) *requestError {
	var a drainArgs
	if reqErr := decodeStrict(data, &a, "args"); reqErr != nil {
		return reqErr
	}
	r.Args.DC = a.DC
	r.Args.Server = a.Server
	r.Force = a.Force
	return checkTarget(a.DC, a.Server)
}

func (r *request) parseUndrain(data []byte) *requestError {
	var a undrainArgs
	if reqErr := decodeStrict(data, &a, "args"); reqErr != nil {
		return reqErr
	}
	r.Args.DC = a.DC
	r.Args.Server = a.Server
	return checkTarget(a.DC, a.Server)
}

func checkTarget(dc, server string) *requestError {
	if (dc == "") == (server == "") {
		return &requestError{"args.dc", `exactly one of "args.dc" and "args.server" is needed`}
	}
	return nil
}

func (r *request) parseRollout(data []byte) *requestError {
	var a rolloutArgs
	if reqErr := decodeStrict(data, &a, "args"); reqErr != nil {
		return reqErr
	}
	if a.Service == "" {
		return missingField("args.service")
	}
	if a.To == "" {
		return missingField("args.to")
	}
	if (a.By == nil) == (a.Deadline == nil) {
		return &requestError{"args.by", `exactly one of "args.by" and "args.deadline" is needed`}
	}
	if a.By != nil && *a.By <= 0 {
		return &requestError{"args.by", `"args.by" must be above 0 ms`}
	}
	r.Args.Service = a.Service
	r.Args.ToVersion = a.To
	if a.By != nil {
		r.allowedMs = *a.By
	} else {
		r.Args.Deadline = *a.Deadline
	}
	return nil
}

func (r *request) parseRollback(data []byte) *requestError {
	var a rollbackArgs
	if reqErr := decodeStrict(data, &a, "args"); reqErr != nil {
		return reqErr
	}
	if a.Service == "" {
		return missingField("args.service")
	}
	r.Args.Service = a.Service
	r.Force = a.Force
	return nil
}

func (r *request) parseReplace(data []byte) *requestError {
	var a replaceArgs
	if reqErr := decodeStrict(data, &a, "args"); reqErr != nil {
		return reqErr
	}
	if a.Host == "" {
		return missingField("args.host")
	}
	if a.With == "" {
		return missingField("args.with")
	}
	r.Args.Host = a.Host
	r.Args.Counterpart = a.With
	return nil
}

// decodeStrict decodes one JSON object and rejects unknown fields and trailing data.
func decodeStrict(data []byte, v any, path string) *requestError {
	err := decoder.Strict(bytes.NewReader(data), v)
	var bodyErr *decoder.BodyError
	if errors.As(err, &bodyErr) {
		return newBodyError(bodyErr, path)
	}
	return nil
}

func newJSONError(err error, path string) *requestError {
	var durationErr *applier.DurationError
	if errors.As(err, &durationErr) {
		return &requestError{joinPath(path, durationErr.Key), err.Error()}
	}
	return newBodyError(decoder.Explain(err), path)
}

// newBodyError converts a decoder error. It prefixes the field's name with path, the path of the decoded part.
func newBodyError(bodyErr *decoder.BodyError, path string) *requestError {
	if bodyErr.Field == "" {
		return &requestError{joinPath(path, ""), bodyErr.Reason}
	}
	field := joinPath(path, bodyErr.Field)
	return &requestError{field, strings.Replace(bodyErr.Reason, strconv.Quote(bodyErr.Field), strconv.Quote(field), 1)}
}

func joinPath(path, field string) string {
	switch {
	case path == "" && field == "":
		return "body"
	case path == "":
		return field
	case field == "":
		return path
	}
	return path + "." + field
}
