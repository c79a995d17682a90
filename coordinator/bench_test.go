package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/cataloger"
	"sycamorevane.example/sycamorevane/dispatcher"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/scheduler"
)

// discardTransport encodes messages and drops them.
type discardTransport struct {
	sycamorevane.Transport
	last *encoder.ScheduleGrant
}

func (d *discardTransport) Self() string                               { return "control" }
func (d *discardTransport) Handle(proto.Message, sycamorevane.Handler) {}
func (d *discardTransport) Peers() []sycamorevane.Peer                 { return nil }
func (d *discardTransport) Send(_ string, m proto.Message) error {
	d.last = m.(*encoder.ScheduleGrant)
	_, err := proto.Marshal(m)
	return err
}

// BenchmarkDecision measures what a control host spends on one request of a pool of 36 servers and 37 entries: a third of
// census, without the transport.
func BenchmarkDecision(b *testing.B) {
	var records []cataloger.ServerRecord
	for i := range 36 {
		records = append(records, cataloger.ServerRecord{Report: cataloger.Report{Server: sycamorevane.Server{
			ID: fmt.Sprint("server", i), Service: "s", DC: "a", Slots: 3,
		}}})
	}
	st := &sycamorevane.State{Config: sycamorevane.Config{Services: []sycamorevane.Service{{Name: "s", HealthPath: "/health"}}}}
	transport := &discardTransport{}
	c := New(Config{
		Transport: transport, DC: "a", NewPool: func() scheduler.Pool { return scheduler.New(scheduler.Config{}) },
		Servers: func() []cataloger.ServerRecord { return records }, State: func() *sycamorevane.State { return st },
		Probe: func(context.Context, sycamorevane.Server, string) dispatcher.ProbeResult {
			return dispatcher.ProbeResult{}
		}, Log: logr.Discard(),
	})
	now := time.Now()
	send := func(i int, m *encoder.ScheduleAsk) {
		data, _ := proto.Marshal(m)
		decoded := &encoder.ScheduleAsk{}
		_ = proto.Unmarshal(data, decoded)
		c.apply(now, message{fmt.Sprint("entry", i%37), decoded})
		c.flush(now)
	}
	send(0, &encoder.ScheduleAsk{Service: "s", Boot: 1, Started: []*encoder.ScheduleStart{{Id: 1, Server: dispatcher.ServerNumber("server0"), Route: "r"}}})
	now = now.Add(warmUp)
	id := uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now = now.Add(5 * time.Millisecond)
		transport.last = nil
		send(int(id), &encoder.ScheduleAsk{Service: "s", Boot: 1, Requests: []*encoder.ScheduleRequest{{Id: id, Route: "r", Firm: "firm", Deadline: 4000, Work: 160}}})
		if transport.last == nil || len(transport.last.Decisions) == 0 {
			now = now.Add(20 * time.Millisecond)
			c.tick(now)
			c.flush(now)
		}
		if transport.last == nil || len(transport.last.Decisions) == 0 {
			b.Fatal("no decision")
		}
		send(int(id), &encoder.ScheduleAsk{Service: "s", Boot: 1, Finished: []*encoder.ScheduleFinish{{
			Id: id, Server: transport.last.Decisions[0].Server, Route: "r", Latency: 100, Load: &encoder.ScheduleLoad{Running: 1, Slots: 3, Slowdown: 100},
		}}})
	}
}
