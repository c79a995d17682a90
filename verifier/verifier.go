package verifier

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sycamorevane.example/sycamorevane/faker"
)

// Findings are counts derived from the records of callers and servers.
type Findings struct {
	Calls int
	// Failed counts calls without a complete response below status 500, which may have run; Refused counts those that
	// were reported as not run.
	Failed  int
	Refused int
	// DuplicatedChanges counts changes that ran more than once.
	DuplicatedChanges int
	// Truncated counts responses that were incomplete but sent as complete; Misdelivered counts those that belonged to
	// another call.
	Truncated    int
	Misdelivered int
	// LostChanges counts changes that were answered with status 200 without a complete run.
	LostChanges int
	// FalseRefusals counts refusals that said that the call had not run although it had.
	FalseRefusals int
	// Latency holds the latencies of responses with status 200 in microseconds.
	Latency *hdrhistogram.Histogram
}

// CallLog holds the records of callers and servers.
type CallLog struct {
	traffic []*Traffic
	// Runs holds the servers' records by call ID.
	Runs map[string][]faker.Run
}

// NewCallLog collects the records of stopped traffic and of all servers.
func NewCallLog(traffic []*Traffic, servers []*faker.Server) *CallLog {
	l := &CallLog{traffic: traffic, Runs: make(map[string][]faker.Run)}
	for _, srv := range servers {
		for _, r := range srv.Runs() {
			l.Runs[r.CallID] = append(l.Runs[r.CallID], r)
		}
	}
	return l
}

// Findings checks every call.
func (l *CallLog) Findings() Findings {
	f := Findings{Latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	for _, t := range l.traffic {
		for _, c := range t.Calls() {
			f.Calls++
			l.countCall(c, &f)
		}
	}
	return f
}

func (l *CallLog) countCall(c *Call, f *Findings) {
	result := c.LastResult()
	switch {
	case result.NotRun():
		f.Refused++
	case result.Err != nil || result.Status >= 500:
		f.Failed++
	case result.Status == http.StatusOK:
		_ = f.Latency.RecordValue(result.Latency.Microseconds())
	}
	runs := l.Runs[c.ID]
	if c.Change && len(runs) > 1 {
		f.DuplicatedChanges++
	}
	if c.Change && result.Err == nil && result.Status == http.StatusOK && !anyComplete(runs) {
		f.LostChanges++
	}
	if alwaysRefused(c) && len(runs) > 0 {
		f.FalseRefusals++
	}
	for i := range c.Results {
		countResponse(c, &c.Results[i], f)
	}
}

func anyComplete(runs []faker.Run) bool {
	for i := range runs {
		if runs[i].Complete {
			return true
		}
	}
	return false
}

func alwaysRefused(c *Call) bool {
	for i := range c.Results {
		if !c.Results[i].NotRun() {
			return false
		}
	}
	return true
}

func countResponse(c *Call, r *faker.Result, f *Findings) {
	if r.Err != nil || r.Status != http.StatusOK {
		return
	}
	var body struct{ Call string }
	if json.Unmarshal(r.Body, &body) != nil {
		f.Truncated++
		return
	}
	if body.Call != c.ID {
		f.Misdelivered++
	}
}

// Violations describes the guarantees about single calls that were broken, with the number of cases of each.
func (f *Findings) Violations() []string {
	var list []string
	for _, violation := range []struct {
		n    int
		text string
	}{
		{f.DuplicatedChanges, "changes ran more than once"},
		{f.Truncated, "answers were cut and passed off as complete"},
		{f.Misdelivered, "answers belonged to another call"},
		{f.LostChanges, "changes were answered as done and did not run completely"},
		{f.FalseRefusals, "refusals said not run although the call ran"},
	} {
		if violation.n > 0 {
			list = append(list, fmt.Sprintf("%d %s", violation.n, violation.text))
		}
	}
	return list
}
