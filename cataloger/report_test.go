package cataloger

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
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
		"id that is no text":        func(r *Report) { r.Server.ID = "\xff\xfe" },
		"name that is no text":      func(r *Report) { r.Server.InstanceName = "\xff\xfe" },
		"service that is no text":   func(r *Report) { r.Server.Service = "s\xff" },
		"version that is no text":   func(r *Report) { r.Server.Version = "\xc3" },
		"address that is no text":   func(r *Report) { r.Server.Addr = "\xed\xa0\x80" },
		"zone that is no text":      func(r *Report) { r.Server.DC = "\x80" },
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

// Guards against a report of one server that makes every message fail which contains it.
func FuzzReportsFitIntoMessages(f *testing.F) {
	f.Add("i-1@7", "s", "v1", "10.0.0.1:80", "a", 4, int64(2000), uint64(3))
	f.Add("\xff\xfe", "board", "v1", "10.0.0.1:80", "a", 4, int64(0), uint64(1))
	f.Add("i-2", "s", "v1", "10.0.0.1:70000", "", 1<<40, int64(math.MaxInt64), uint64(math.MaxUint64))
	f.Fuzz(func(t *testing.T, id, service, version, addr, dc string, slots int, cold int64, sequence uint64) {
		now := time.Now()
		odd := Report{
			Server:   sycamorevane.Server{ID: id, InstanceName: id, Service: service, Version: version, Addr: addr, DC: dc, Slots: slots},
			Sequence: sequence, ColdRemaining: time.Duration(cold),
		}
		c := NewCatalog()
		require.True(t, c.Merge(Report{Server: sycamorevane.Server{ID: "other", Addr: "other:1", Slots: 1}, Sequence: 1}, now))
		c.Merge(odd, now)
		data, err := proto.Marshal(&encoder.Heartbeats{Records: encode(c.ChangedSince(0, now))})
		require.NoError(t, err)
		m := &encoder.Heartbeats{}
		require.NoError(t, proto.Unmarshal(data, m))
		received := NewCatalog()
		for _, r := range decode(m.Records) {
			received.Merge(r, now)
		}
		for _, rec := range c.All() {
			got, ok := received.Get(rec.Server.ID)
			require.Equal(t, rec.Server.Addr != "", ok)
			if ok {
				require.Equal(t, rec.Server, got.Server)
			}
		}
	})
}
