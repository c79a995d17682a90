package querier

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"sycamorevane.example/sycamorevane/applier"
)

// parseQuery parses the filters of /v1/audit. If a parameter is invalid, it returns its name and the reason.
func parseQuery(values url.Values) (q applier.Query, field, reason string) {
	numberFilters := map[string]func(int64){
		"version": func(n int64) { q.Version = uint64(n) },
		"since":   func(n int64) { q.Since = n },
		"until":   func(n int64) { q.Until = n },
		"before":  func(n int64) { q.Before = uint64(n) },
		"limit":   func(n int64) { q.Limit = int(min(n, applier.MaxPageRecords)) },
	}
	textFilters := map[string]func(string){
		"actor":   func(s string) { q.Actor = s },
		"op":      func(s string) { q.Op = s },
		"outcome": func(s string) { q.Result = applier.Result(s) },
		"id":      func(s string) { q.ID = s },
		"what":    func(s string) { q.Description = s },
	}
	for name := range values {
		value := values.Get(name)
		if set, ok := textFilters[name]; ok {
			set(value)
			continue
		}
		set, ok := numberFilters[name]
		if !ok {
			return q, name, fmt.Sprintf("unknown parameter %q", name)
		}
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n < 0 {
			return q, name, fmt.Sprintf("%q must be a number of 0 or above", name)
		}
		set(n)
	}
	return q, "", ""
}

func formatMs(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
