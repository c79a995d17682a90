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
		var limit *encoder.ServerLimit
		if r.Limit != nil {
			limit = encodeLimit(r.Limit)
		}
		out = append(out, &encoder.ServerRecord{
			Id: r.Server.ID, Service: r.Server.Service, Version: r.Server.Version, Addr: r.Server.Addr, Dc: r.Server.DC,
			Label: r.Server.InstanceName, Slots: uint32(r.Server.Slots), Born: r.StartedAt, Sequence: r.Sequence,
			Draining: r.Draining, Left: r.Ended, Silent: r.LeaseExpired,
			Cold: uint32(r.ColdRemaining.Milliseconds()), Age: uint32(r.Age.Milliseconds()),
			Limit: limit,
		})
	}
	return out
}

func decode(list []*encoder.ServerRecord) []Report {
	out := make([]Report, 0, len(list))
	for _, r := range list {
		var limit *LimitReport
		if r.Limit != nil {
			l := decodeLimit(r.Limit)
			limit = &l
		}
		out = append(out, Report{
			Server: sycamorevane.Server{
				ID: r.Id, Service: r.Service, Version: r.Version, Addr: r.Addr, DC: r.Dc, InstanceName: r.Label, Slots: int(r.Slots),
			},
			StartedAt: r.Born, Sequence: r.Sequence, Draining: r.Draining, Ended: r.Left, LeaseExpired: r.Silent,
			ColdRemaining: time.Duration(r.Cold) * time.Millisecond, Age: time.Duration(r.Age) * time.Millisecond,
			Limit: limit,
		})
	}
	return out
}

// EncodeLimits encodes what servers have stated about their request limits.
func EncodeLimits(list []LimitReport) []*encoder.ServerLimit {
	var out []*encoder.ServerLimit
	for i := range list {
		out = append(out, encodeLimit(&list[i]))
	}
	return out
}

func encodeLimit(l *LimitReport) *encoder.ServerLimit {
	return &encoder.ServerLimit{Id: l.Server, Limited: l.Limited, Rate: l.Rate, Age: uint32(l.Age.Milliseconds())}
}

func decodeLimit(m *encoder.ServerLimit) LimitReport {
	return LimitReport{
		RequestLimit: sycamorevane.RequestLimit{Limited: m.Limited, Rate: m.Rate}, Server: m.Id,
		Age: time.Duration(m.Age) * time.Millisecond,
	}
}
