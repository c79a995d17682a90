// Package explainer finds the log lines of one request in the logs of several processes and sorts them by time.
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
}

// Find returns the lines of the request in the logs, sorted by time. A line may have a prefix before its JSON object, such
// as one that a log collector adds. Errors are those of reading the logs.
func Find(request string, logs ...io.Reader) (*Report, error) {
	r := &Report{}
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
		return
	}
	l := Line{Fields: fields}
	l.Host, _ = fields["host"].(string)
	l.Text, _ = fields["msg"].(string)
	timestamp, _ := fields["time"].(string)
	l.Time, _ = time.Parse(time.RFC3339Nano, timestamp) // A line without a valid time sorts first.
	for _, key := range []string{"time", "host", "msg", "level", "request"} {
		delete(fields, key)
	}
	r.Lines = append(r.Lines, l)
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
