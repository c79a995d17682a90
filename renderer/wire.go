package renderer

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"io"
	"math"
	"slices"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane/encoder"
)

// MaxViewBytes limits the size of a decoded view to about ten times that of a view of 2,200 servers.
const MaxViewBytes = 16 << 20

// probesPerKilosecond converts probe rates, which are sent as probes per 1,000 s since they are far below one per second.
const probesPerKilosecond = 1000

// EncodeSummary returns the message for a summary. ReceivedAt is not sent; the receiver sets it.
func EncodeSummary(s Summary) *encoder.LoadSummary {
	m := &encoder.LoadSummary{
		Entry: s.Entry, Dc: s.DC, Version: s.Version, Leaving: s.ShuttingDown, Window: toMillis(s.Window), Full: s.Full,
	}
	type key struct {
		service, dc, version string
		owner                bool
	}
	pools := map[key]*encoder.LoadPool{}
	for _, l := range s.Loads {
		k := key{l.Service, l.DC, l.Version, l.Owner}
		p, ok := pools[k]
		if !ok {
			p = &encoder.LoadPool{Service: l.Service, Dc: l.DC, Version: l.Version, Owner: l.Owner}
			pools[k] = p
			m.Pools = append(m.Pools, p)
		}
		if l.Server == "" {
			p.Traffic = encodeTraffic(l)
			continue
		}
		p.Servers = append(p.Servers, encodeServer(l))
	}
	slices.SortFunc(m.Pools, func(a, b *encoder.LoadPool) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Dc, b.Dc), cmp.Compare(a.Version, b.Version))
	})
	return m
}

func encodeServer(l LoadRow) *encoder.LoadServer {
	return &encoder.LoadServer{
		Id: l.Server, Addr: l.Addr, Traffic: encodeTraffic(l), Slots: toUint32(l.Slots), Limit: toUint32(l.UsableSlots), State: l.State, Reason: l.Reason,
		Probes: toProbesPerKilosecond(l.ProbeRate), Budget: toProbesPerKilosecond(l.MaxProbeRate),
	}
}

func encodeTraffic(l LoadRow) *encoder.LoadTraffic {
	return &encoder.LoadTraffic{
		Calls: uint32(min(l.Calls, math.MaxUint32)), Failures: uint32(min(l.Failures, math.MaxUint32)), Use: toUint32(l.BusySlots),
		P50: toMicros(l.P50), P99: toMicros(l.P99), Window: toMillis(l.Window),
	}
}

func toUint32(n int) uint32 { return uint32(max(0, min(n, math.MaxUint32))) }

func toProbesPerKilosecond(x float64) uint32 {
	return uint32(max(0, min(math.Round(x*probesPerKilosecond), math.MaxUint32)))
}

func toMillis(d time.Duration) uint32 { return uint32(max(0, min(d.Milliseconds(), math.MaxUint32))) }

func toMicros(d time.Duration) uint32 { return uint32(max(0, min(d.Microseconds(), math.MaxUint32))) }

// DecodeSummary returns the summary in a message that arrived at receivedAt.
func DecodeSummary(m *encoder.LoadSummary, receivedAt time.Time) Summary {
	s := Summary{
		Entry: m.Entry, DC: m.Dc, Version: m.Version, ShuttingDown: m.Leaving, ReceivedAt: receivedAt, Full: m.Full,
		Window: time.Duration(m.Window) * time.Millisecond,
	}
	for _, p := range m.Pools {
		pool := LoadRow{Service: p.Service, DC: p.Dc, Version: p.Version, Owner: p.Owner}
		if p.Traffic != nil {
			s.Loads = append(s.Loads, decodeTraffic(pool, p.Traffic))
		}
		for _, srv := range p.Servers {
			l := decodeTraffic(pool, srv.Traffic)
			l.Server = srv.Id
			l.Addr = srv.Addr
			l.Slots = int(srv.Slots)
			l.UsableSlots = int(srv.Limit)
			l.State = srv.State
			l.Reason = srv.Reason
			l.ProbeRate = float64(srv.Probes) / probesPerKilosecond
			l.MaxProbeRate = float64(srv.Budget) / probesPerKilosecond
			s.Loads = append(s.Loads, l)
		}
	}
	return s
}

func decodeTraffic(l LoadRow, t *encoder.LoadTraffic) LoadRow {
	l.Calls = uint64(t.GetCalls())
	l.Failures = uint64(t.GetFailures())
	l.BusySlots = int(t.GetUse())
	l.Window = time.Duration(t.GetWindow()) * time.Millisecond
	l.P50 = time.Duration(t.GetP50()) * time.Microsecond
	l.P99 = time.Duration(t.GetP99()) * time.Microsecond
	return l
}

// EncodeView returns the message that sends a view to another control host.
func EncodeView(v *View) (*encoder.ViewPush, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var out bytes.Buffer
	z, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := z.Write(data); err != nil {
		return nil, errors.Trace(err)
	}
	if err := z.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return &encoder.ViewPush{Term: v.Term, Seq: v.Seq, View: out.Bytes()}, nil
}

// DecodeView returns the view in a message. A receiver replaces its view only if the new one is Newer.
func DecodeView(m *encoder.ViewPush) (*View, error) {
	z, err := gzip.NewReader(bytes.NewReader(m.View))
	if err != nil {
		return nil, errors.Annotate(err, "view")
	}
	data, err := io.ReadAll(io.LimitReader(z, MaxViewBytes+1))
	if err != nil {
		return nil, errors.Annotate(err, "view")
	}
	if len(data) > MaxViewBytes {
		return nil, errors.Errorf("view is larger than %d bytes", MaxViewBytes)
	}
	v := &View{}
	if err := json.Unmarshal(data, v); err != nil {
		return nil, errors.Annotate(err, "view")
	}
	if v.Term != m.Term || v.Seq != m.Seq || v.Number != number(m.Term, m.Seq) {
		return nil, errors.Errorf("view %s was sent as %s", v.Number, number(m.Term, m.Seq))
	}
	return v, nil
}

// Newer reports whether v is later than old, which may be nil. Replacing only older views keeps the numbers on a host
// from decreasing.
func (v *View) Newer(old *View) bool {
	return old == nil || v.Term > old.Term || v.Term == old.Term && v.Seq > old.Seq
}
