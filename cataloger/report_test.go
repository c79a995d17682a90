package cataloger

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

// Guards against reports of other writers that change on their way to other hosts or fill the messages of all servers.
func TestInvalidReports(t *testing.T) {
	valid := Report{
		Server:   sycamorevane.Server{ID: "i-1@7", InstanceName: "i-1", Service: "s", Version: "v1", Addr: "10.0.0.1:80", DC: "a", Slots: 4},
		Sequence: 1,
	}
	require.True(t, NewCatalog().Merge(valid, time.Now()))
	cases := map[string]func(*Report){
		"no id":                     func(r *Report) { r.Server.ID = "" },
		"long id":                   func(r *Report) { r.Server.ID = strings.Repeat("i", maxFieldBytes+1) },
		"long name":                 func(r *Report) { r.Server.InstanceName = strings.Repeat("i", maxFieldBytes+1) },
		"long service":              func(r *Report) { r.Server.Service = strings.Repeat("i", maxFieldBytes+1) },
		"long version":              func(r *Report) { r.Server.Version = strings.Repeat("i", maxFieldBytes+1) },
		"long address":              func(r *Report) { r.Server.Addr = strings.Repeat("i", maxFieldBytes+1) },
		"long data centre":          func(r *Report) { r.Server.DC = strings.Repeat("i", maxFieldBytes+1) },
		"negative slots":            func(r *Report) { r.Server.Slots = -1 },
		"slots that wrap around":    func(r *Report) { r.Server.Slots = 1<<32 + 1 },
		"negative cold time":        func(r *Report) { r.ColdRemaining = -time.Second },
		"cold time above a message": func(r *Report) { r.ColdRemaining = math.MaxInt64 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			r := valid
			change(&r)
			c := NewCatalog()
			require.False(t, c.Merge(r, time.Now()))
			require.Empty(t, c.All())
			var invalid *InvalidReportError
			require.True(t, errors.As(r.validate(), &invalid))
		})
	}
}
