package auditor

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane/faker"
)

func answer(status int, body string, notRun bool) faker.Result {
	r := faker.Result{Status: status, Body: []byte(body), Header: http.Header{}, Latency: time.Millisecond}
	if notRun {
		r.Header.Set("X-Not-Run", "true")
	}
	return r
}

// Each row guards against one kind of broken promise that the ledger would not find.
func TestLedgerFindsBrokenPromises(t *testing.T) {
	done := faker.Run{Call: "c", Complete: true}
	ok := answer(200, `{"call":"c"}`, false)
	rows := []struct {
		name    string
		results []faker.Result
		runs    []faker.Run
		broken  int
		text    string
	}{
		{"good", []faker.Result{ok}, []faker.Run{done}, 0, ""},
		{"ran twice", []faker.Result{ok}, []faker.Run{done, done}, 1, "more than once"},
		{"never ran", []faker.Result{ok}, nil, 1, "did not run completely"},
		{"ran in part", []faker.Result{ok}, []faker.Run{{Call: "c"}}, 1, "did not run completely"},
		{"cut", []faker.Result{answer(200, `{"call":"c`, false)}, []faker.Run{done}, 1, "cut"},
		{"another's answer", []faker.Result{answer(200, `{"call":"d"}`, false)}, []faker.Run{done}, 1, "another call"},
		{"untrue refusal", []faker.Result{answer(503, "", true)}, []faker.Run{done}, 1, "not run although"},
		{"true refusal", []faker.Result{answer(503, "", true)}, nil, 0, ""},
		{"uncertain, then answered", []faker.Result{answer(502, "", false), ok}, []faker.Run{done}, 0, ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			tr := &Traffic{calls: []*Call{{ID: "c", Change: true, Results: row.results}}}
			l := &CallLog{traffic: []*Traffic{tr}, Runs: map[string][]faker.Run{"c": row.runs}}
			f := l.Findings()
			broken := f.Violations()
			require.Len(t, broken, row.broken, "%v", broken)
			if row.broken > 0 {
				require.Contains(t, broken[0], row.text)
			}
		})
	}
}
