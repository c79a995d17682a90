// Package explainer finds the log lines of one request in the logs of several processes and sorts them by time. If the lines
// have the fingerprint of the request, it adds the lines about deaths of servers and quarantines that name the same one.
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// maxLineBytes is the maximum length of a log line; Find returns an error for a longer one.
const maxLineBytes = 1 << 20

// Line is a log line of the request.
type Line struct {
	Time time.Time
	Host string
	Text string
	// Fields holds the remaining key-value pairs of the line.
	Fields map[string]any
}

// Report lists the log lines of a request.
type Report struct {
	Lines []Line
	// LinesRead is the number of lines in the logs, Unreadable the number of those without a valid JSON object.
	LinesRead, Unreadable int

	// related holds the lines that name fingerprints and no request, by fingerprint.
	related map[string][]Line
}

// Find returns the lines of the request in the logs, sorted by time. A line may have a prefix before its JSON object, such
// as one that a log collector adds. Errors are those of reading the logs.
func Find(request string, logs ...io.Reader) (*Report, error) {
	r := &Report{related: make(map[string][]Line)}
	for _, log := range logs {
		s := bufio.NewScanner(log)
		s.Buffer(nil, maxLineBytes)
		for s.Scan() {
			r.addLine(request, s.Bytes())
		}
		if err := s.Err(); err != nil {
			return nil, errors.Annotatef(err, "after line %d", r.LinesRead)
		}
	}
	r.addRelated()
	slices.SortStableFunc(r.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return r, nil
}

func (r *Report) addLine(request string, line []byte) {
	r.LinesRead++
	i := bytes.IndexByte(line, '{')
	var fields map[string]any
	if i < 0 || json.Unmarshal(line[i:], &fields) != nil {
		r.Unreadable++
		return
	}
	if fields["request"] != request {
		r.keepRelated(fields)
		return
	}
	r.Lines = append(r.Lines, newLine(fields))
}

// fingerprintKeys are the keys whose values are the fingerprints of requests that a line is about.
var fingerprintKeys = []string{"fingerprint", "fingerprints", "quarantined", "released"}

// keepRelated keeps a line that is not about one request but names fingerprints.
func (r *Report) keepRelated(fields map[string]any) {
	if _, ok := fields["request"]; ok {
		return
	}
	var fingerprints []string
	for _, key := range fingerprintKeys {
		fingerprints = append(fingerprints, texts(fields[key])...)
	}
	if len(fingerprints) == 0 {
		return
	}
	line := newLine(fields)
	for _, fingerprint := range fingerprints {
		r.related[fingerprint] = append(r.related[fingerprint], line)
	}
}

// texts returns the strings in a value of a log line.
func texts(v any) []string {
	switch v := v.(type) {
	case string:
		return []string{v}
	case []any:
		var list []string
		for _, item := range v {
			list = append(list, texts(item)...)
		}
		return list
	}
	return nil
}

// addRelated adds the related lines for the fingerprints of the request.
func (r *Report) addRelated() {
	fingerprints := make(map[string]bool)
	for _, l := range r.Lines {
		for _, fingerprint := range texts(l.Fields["fingerprint"]) {
			fingerprints[fingerprint] = true
		}
	}
	for fingerprint := range fingerprints {
		r.Lines = append(r.Lines, r.related[fingerprint]...)
	}
	r.related = nil
}

func newLine(fields map[string]any) Line {
	l := Line{Fields: fields}
	l.Host, _ = fields["host"].(string)
	l.Text, _ = fields["msg"].(string)
	timestamp, _ := fields["time"].(string)
	l.Time, _ = time.Parse(time.RFC3339Nano, timestamp) // A line without a valid time sorts first.
	for _, key := range []string{"time", "host", "msg", "level", "request"} {
		delete(fields, key)
	}
	return l
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) error {
	for _, l := range r.Lines {
		pairs := make([]string, 0, len(l.Fields))
		for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
			pairs = append(pairs, fmt.Sprintf("%s=%v", key, l.Fields[key]))
		}
		_, err := fmt.Fprintf(w, "%s %s %s: %s\n", l.Time.Format("15:04:05.000"), l.Host, l.Text, strings.Join(pairs, " "))
		if err != nil {
			return errors.Trace(err)
		}
	}
	_, err := fmt.Fprintf(w, "%d lines of this request; %d lines read, %d unreadable\n", len(r.Lines), r.LinesRead, r.Unreadable)
	return errors.Trace(err)
}
