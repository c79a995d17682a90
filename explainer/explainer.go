// Package explainer finds the log lines of one request in the logs of any number of processes and puts them in order.
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

// maxLine bounds a log line in bytes; longer ones count as unreadable.
const maxLine = 1 << 20

// Line is one log line of a request.
type Line struct {
	Time time.Time
	Host string
	Text string
	// Fields are the other pairs of the line.
	Fields map[string]any
}

// Report is what the logs hold of a request.
type Report struct {
	Lines []Line
	// Read and Unreadable count the lines of the logs.
	Read, Unreadable int
}

// Find reads logs and returns the lines of the request in the order of their times. A line may have words before its
// JSON object, as a collector of several hosts adds them. Errors: those of the readers.
func Find(request string, logs ...io.Reader) (*Report, error) {
	r := &Report{}
	for _, log := range logs {
		s := bufio.NewScanner(log)
		s.Buffer(nil, maxLine)
		for s.Scan() {
			r.take(request, s.Bytes())
		}
		if err := s.Err(); err != nil {
			return nil, errors.Annotatef(err, "after line %d", r.Read)
		}
	}
	slices.SortStableFunc(r.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return r, nil
}

func (r *Report) take(request string, line []byte) {
	r.Read++
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
	at, _ := fields["time"].(string)
	l.Time, _ = time.Parse(time.RFC3339Nano, at) // A line without a time sorts first.
	for _, key := range []string{"time", "host", "msg", "level", "request"} {
		delete(fields, key)
	}
	r.Lines = append(r.Lines, l)
}

// Print writes the report for a person.
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
	_, err := fmt.Fprintf(w, "%d lines of this request; %d lines read, %d unreadable\n", len(r.Lines), r.Read, r.Unreadable)
	return errors.Trace(err)
}
