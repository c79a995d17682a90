package verifier

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane/faker"
)

func newResult(status int, body string, notRun bool) faker.Result {
	r := faker.Result{Status: status, Body: []byte(body), Header: http.Header{}, Latency: time.Millisecond}
	if notRun {
		r.Header.Set("X-Not-Run", "true")
	}
	return r
}

// Each case guards against one kind of broken guarantee that the call log would not detect.
func TestLedgerFindsBrokenPromises(t *testing.T) {
	done := faker.Run{CallID: "c", Complete: true}
	ok := newResult(200, `{"call":"c"}`, false)
	cases := []struct {
		name    string
		results []faker.Result
		runs    []faker.Run
		count   int
		text    string
	}{
		{"good", []faker.Result{ok}, []faker.Run{done}, 0, ""},
		{"ran twice", []faker.Result{ok}, []faker.Run{done, done}, 1, "more than once"},
		{"never ran", []faker.Result{ok}, nil, 1, "did not run completely"},
		{"ran in part", []faker.Result{ok}, []faker.Run{{CallID: "c"}}, 1, "did not run completely"},
		{"cut", []faker.Result{newResult(200, `{"call":"c`, false)}, []faker.Run{done}, 1, "cut"},
		{"another's answer", []faker.Result{newResult(200, `{"call":"d"}`, false)}, []faker.Run{done}, 1, "another call"},
		{"untrue refusal", []faker.Result{newResult(503, "", true)}, []faker.Run{done}, 1, "not run although"},
		{"true refusal", []faker.Result{newResult(503, "", true)}, nil, 0, ""},
		{"uncertain, then answered", []faker.Result{newResult(502, "", false), ok}, []faker.Run{done}, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr := &Traffic{calls: []*Call{{ID: "c", Change: true, Results: c.results}}}
			l := &CallLog{traffic: []*Traffic{tr}, Runs: map[string][]faker.Run{"c": c.runs}}
			f := l.Findings()
			violations := f.Violations()
			require.Len(t, violations, c.count, "%v", violations)
			if c.count > 0 {
				require.Contains(t, violations[0], c.text)
			}
		})
	}
}
