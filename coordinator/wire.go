package coordinator

import (
	"math"
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/dispatcher"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/scheduler"
)

// percent is the unit of a slowdown in a message.
const percent = 100

// milliseconds rounds up, so that a short time does not become 0, which means that none is known.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(math.MaxUint32, max(0, (d+time.Millisecond-1)/time.Millisecond)))
}

func encodeAsk(now time.Time, id uint64, a *scheduler.Ask) *encoder.ScheduleRequest {
	m := &encoder.ScheduleRequest{
		Id: id, Route: a.Route, Firm: a.Workspace, Priority: uint32(max(0, a.Priority)), Work: milliseconds(a.Work),
		Deadline: encodeTime(now, a.Deadline),
	}
	for _, server := range a.ExcludedServers {
		m.Excluded = append(m.Excluded, dispatcher.ServerNumber(server))
	}
	return m
}

// encodeTime returns the time until at in ms; 0 if at is not set.
func encodeTime(now, at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	if ms := at.Sub(now).Milliseconds(); ms != 0 {
		return ms
	}
	return 1 // 0 stands for a time that is not set.
}

func decodeTime(now time.Time, ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}

func encodeLoad(l *sycamorevane.LoadReport) *encoder.ScheduleLoad {
	if l == nil {
		return nil
	}
	return &encoder.ScheduleLoad{
		Running: uint32(max(0, l.Running)), Waiting: uint32(max(0, l.Waiting)), Slots: uint32(max(0, l.Slots)),
		Slowdown: uint32(max(0, l.Slowdown) * percent),
	}
}

func decodeLoad(m *encoder.ScheduleLoad) *sycamorevane.LoadReport {
	if m == nil {
		return nil
	}
	return &sycamorevane.LoadReport{
		Running: int(m.Running), Waiting: int(m.Waiting), Slots: int(m.Slots), Slowdown: float64(m.Slowdown) / percent,
	}
}
