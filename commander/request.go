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

// request is a command as decoded from the body, before the status view is added.
type request struct {
	applier.Command
	// allowed is the time for a rollout in ms, counted from acceptance; zero when a deadline was given.
	allowed int64
}

// body is the external form of a command.
type body struct {
	ID   string          `json:"id"`
	Op   string          `json:"op"`
	Args json.RawMessage `json:"args"`
	If   *uint64         `json:"if"`
}

// Arguments by op, in their external form.
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
		// By is the time allowed in ms; Deadline the end in Unix ms. Exactly one is given.
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

// fault is a malformed request; field names the part at fault.
type fault struct{ field, reason string }

func missing(field string) *fault { return &fault{field, fmt.Sprintf("%q is missing", field)} }

// parse reads a command body strictly.
func parse(data []byte) (request, *fault) {
	var b body
	var r request
	if f := strict(data, &b, ""); f != nil {
		return r, f
	}
	if f := checkID(b.ID); f != nil {
		return r, f
	}
	r.ID = b.ID
	r.Op = b.Op
	r.ExpectedVersion = b.If
	if len(b.Args) == 0 || string(b.Args) == "null" {
		return r, missing("args")
	}
	return r, r.parseArgs(b.Args)
}

func checkID(id string) *fault {
	if id == "" {
		return missing("id")
	}
	if len(id) > applier.MaxID {
		return &fault{"id", fmt.Sprintf("%q is above %d bytes", "id", applier.MaxID)}
	}
	for _, c := range id {
		if c <= ' ' || c > '~' || c == '/' {
			return &fault{"id", `"id" may hold only printable ASCII without spaces and slashes`}
		}
	}
	return nil
}

func (r *request) parseArgs(data []byte) *fault {
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
		return missing("op")
	}
	return &fault{"op", fmt.Sprintf("unknown op %q", r.Op)}
}

func (r *request) parseApply(data []byte) *fault {
	var a applyArgs
	if f := strict(data, &a, "args"); f != nil {
		return f
	}
	if len(a.Config) == 0 || string(a.Config) == "null" {
		return missing("args.config")
	}
	cfg, err := applier.DecodeConfig(a.Config)
	if err != nil {
		return jsonFault(err, "args.config")
	}
	r.Args.Config = cfg
	r.Force = a.Force
	return nil
}

func (r *request) parseDrain(data []byte) *fault {
	var a drainArgs
	if f := strict(data, &a, "args"); f != nil {
		return f
	}
	r.Args.DC = a.DC
	r.Args.Server = a.Server
	r.Force = a.Force
	return oneTarget(a.DC, a.Server)
}

func (r *request) parseUndrain(data []byte) *fault {
	var a undrainArgs
	if f := strict(data, &a, "args"); f != nil {
		return f
	}
	r.Args.DC = a.DC
	r.Args.Server = a.Server
	return oneTarget(a.DC, a.Server)
}

func oneTarget(dc, server string) *fault {
	if (dc == "") == (server == "") {
		return &fault{"args.dc", `exactly one of "args.dc" and "args.server" is needed`}
	}
	return nil
}

func (r *request) parseRollout(data []byte) *fault {
	var a rolloutArgs
	if f := strict(data, &a, "args"); f != nil {
		return f
	}
	if a.Service == "" {
		return missing("args.service")
	}
	if a.To == "" {
		return missing("args.to")
	}
	if (a.By == nil) == (a.Deadline == nil) {
		return &fault{"args.by", `exactly one of "args.by" and "args.deadline" is needed`}
	}
	if a.By != nil && *a.By <= 0 {
		return &fault{"args.by", `"args.by" must be above 0 ms`}
	}
	r.Args.Service = a.Service
	r.Args.ToVersion = a.To
	if a.By != nil {
		r.allowed = *a.By
	} else {
		r.Args.Deadline = *a.Deadline
	}
	return nil
}

func (r *request) parseRollback(data []byte) *fault {
	var a rollbackArgs
	if f := strict(data, &a, "args"); f != nil {
		return f
	}
	if a.Service == "" {
		return missing("args.service")
	}
	r.Args.Service = a.Service
	r.Force = a.Force
	return nil
}

func (r *request) parseReplace(data []byte) *fault {
	var a replaceArgs
	if f := strict(data, &a, "args"); f != nil {
		return f
	}
	if a.Host == "" {
		return missing("args.host")
	}
	if a.With == "" {
		return missing("args.with")
	}
	r.Args.Host = a.Host
	r.Args.Counterpart = a.With
	return nil
}

// strict decodes one JSON object without unknown fields and without anything after it.
func strict(data []byte, v any, path string) *fault {
	err := decoder.Strict(bytes.NewReader(data), v)
	var body *decoder.BodyError
	if errors.As(err, &body) {
		return bodyFault(body, path)
	}
	return nil
}

func jsonFault(err error, path string) *fault {
	var t *applier.TimeError
	if errors.As(err, &t) {
		return &fault{join(path, t.Key), err.Error()}
	}
	return bodyFault(decoder.Explain(err), path)
}

// bodyFault puts the path of the decoded part in front of the field's name.
func bodyFault(body *decoder.BodyError, path string) *fault {
	if body.Field == "" {
		return &fault{join(path, ""), body.Reason}
	}
	field := join(path, body.Field)
	return &fault{field, strings.Replace(body.Reason, strconv.Quote(body.Field), strconv.Quote(field), 1)}
}

func join(path, field string) string {
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
