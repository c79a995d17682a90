package cataloger

import (
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

func encode(list []Report) []*encoder.ServerRecord {
	out := make([]*encoder.ServerRecord, 0, len(list))
	for i := range list {
		r := &list[i]
		out = append(out, &encoder.ServerRecord{
			Id: r.Server.ID, Service: r.Server.Service, Version: r.Server.Version, Addr: r.Server.Addr, Dc: r.Server.DC,
			Label: r.Server.Label, Slots: uint32(r.Server.Slots), Born: r.Born, Sequence: r.Sequence,
			Draining: r.Draining, Left: r.Left, Silent: r.Silent,
			Cold: uint32(r.Cold.Milliseconds()), Age: uint32(r.Age.Milliseconds()),
		})
	}
	return out
}

func decode(list []*encoder.ServerRecord) []Report {
	out := make([]Report, 0, len(list))
	for _, r := range list {
		out = append(out, Report{
			Server: sycamorevane.Server{
				ID: r.Id, Service: r.Service, Version: r.Version, Addr: r.Addr, DC: r.Dc, Label: r.Label, Slots: int(r.Slots),
			},
			Born: r.Born, Sequence: r.Sequence, Draining: r.Draining, Left: r.Left, Silent: r.Silent,
			Cold: time.Duration(r.Cold) * time.Millisecond, Age: time.Duration(r.Age) * time.Millisecond,
		})
	}
	return out
}
