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

// MaxView bounds a decoded view in bytes, at about ten times the view of 2,200 servers.
const MaxView = 16 << 20

// perKilosecond is the unit of the probe rates on the wire, which are far below one per second.
const perKilosecond = 1000

// EncodeSummary returns the message form of a summary. ReceivedAt is set by the receiver.
func EncodeSummary(s Summary) *encoder.LoadSummary {
	m := &encoder.LoadSummary{
		Entry: s.Entry, Dc: s.DC, Version: s.Version, Leaving: s.Leaving, Window: millis(s.Window), Full: s.Full,
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
		Id: l.Server, Addr: l.Addr, Traffic: encodeTraffic(l), Slots: count(l.Slots), Limit: count(l.Limit), State: l.State, Reason: l.Reason,
		Probes: rate(l.Probes), Budget: rate(l.Budget),
	}
}

func encodeTraffic(l LoadRow) *encoder.LoadTraffic {
	return &encoder.LoadTraffic{
		Calls: uint32(min(l.Calls, math.MaxUint32)), Failures: uint32(min(l.Failures, math.MaxUint32)), Use: count(l.BusySlots),
		P50: micros(l.P50), P99: micros(l.P99), Window: millis(l.Window),
	}
}

func count(n int) uint32 { return uint32(max(0, min(n, math.MaxUint32))) }

func rate(x float64) uint32 { return uint32(max(0, min(math.Round(x*perKilosecond), math.MaxUint32))) }

func millis(d time.Duration) uint32 { return uint32(max(0, min(d.Milliseconds(), math.MaxUint32))) }

func micros(d time.Duration) uint32 { return uint32(max(0, min(d.Microseconds(), math.MaxUint32))) }

// DecodeSummary reads the message form of a summary that was received at heard.
func DecodeSummary(m *encoder.LoadSummary, heard time.Time) Summary {
	s := Summary{
		Entry: m.Entry, DC: m.Dc, Version: m.Version, Leaving: m.Leaving, ReceivedAt: heard, Full: m.Full,
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
			l.Limit = int(srv.Limit)
			l.State = srv.State
			l.Reason = srv.Reason
			l.Probes = float64(srv.Probes) / perKilosecond
			l.Budget = float64(srv.Budget) / perKilosecond
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

// EncodeView returns the message that carries a view to another control host.
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

// DecodeView reads a pushed view. A receiver keeps the view it has unless Newer says otherwise.
func DecodeView(m *encoder.ViewPush) (*View, error) {
	z, err := gzip.NewReader(bytes.NewReader(m.View))
	if err != nil {
		return nil, errors.Annotate(err, "view")
	}
	data, err := io.ReadAll(io.LimitReader(z, MaxView+1))
	if err != nil {
		return nil, errors.Annotate(err, "view")
	}
	if len(data) > MaxView {
		return nil, errors.Errorf("view is above %d bytes", MaxView)
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

// Newer reports whether v replaces old, so that numbers never decrease on a host.
func (v *View) Newer(old *View) bool {
	return old == nil || v.Term > old.Term || v.Term == old.Term && v.Seq > old.Seq
}
