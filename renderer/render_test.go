package renderer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/encoder"
)

var now = time.UnixMilli(1_800_000_000_000)

func testState() *sycamorevane.State {
	return &sycamorevane.State{
		Version: 9,
		Config: sycamorevane.Config{
			DCs:      []string{"a", "b"},
			Services: []sycamorevane.Service{{Name: "flagboard"}},
			Hosts: []sycamorevane.Host{
				{Name: "e1", DC: "a", Roles: sycamorevane.NewSet("entry")}, {Name: "e2", DC: "b", Roles: sycamorevane.NewSet("entry")},
			},
		},
	}
}

func newRow(server, dc, version, state string, calls uint64) LoadRow {
	return LoadRow{
		Service: "flagboard", DC: dc, Version: version, Server: server, Owner: true, Slots: 4, BusySlots: 1, Calls: calls,
		State: state, P50: 2 * time.Millisecond, P99: 9 * time.Millisecond,
	}
}

func summary(entry string, age time.Duration, loads ...LoadRow) Summary {
	return Summary{Entry: entry, DC: "a", Version: 9, Window: time.Second, ReceivedAt: now.Add(-age), Loads: loads}
}

func render(s *sycamorevane.State, entries ...Summary) *View {
	return Render(Input{Term: 3, Seq: 4, Now: now, Leader: "h1", State: s, Entries: entries})
}

// TestShares guards against shares in which a call is counted twice or reports of lost entries are included.
func TestShares(t *testing.T) {
	s := testState()
	s.Rollouts = map[string]sycamorevane.Rollout{"flagboard": {Service: "flagboard", FromVersion: "v1", ToVersion: "v2", Phase: sycamorevane.RolloutTrial, Share: 0.05}}
	nonOwnerRow := newRow("s1", "a", "v1", "", 30)
	nonOwnerRow.Owner = false
	nonOwnerRow.Slots = 0
	pool := LoadRow{Service: "flagboard", DC: "b", Version: "v2", Calls: 10, BusySlots: 2}
	s1, s2 := newRow("s1", "a", "v1", StateReady, 50), newRow("s2", "b", "v2", StateCold, 10)
	s1.ProbeRate, s1.MaxProbeRate, s2.ProbeRate, s2.MaxProbeRate = 0.5, 1, 0.25, 2
	v := render(
		s,
		summary("e1", 0, s1, s2),
		summary("e2", time.Second, nonOwnerRow, pool),
		summary("e3", StaleAfter+time.Second, newRow("s1", "a", "v1", StateReady, 1000)),
	)
	require.Equal(t, "3.4", v.Number)
	svc := v.Services[0]
	require.Equal(t, 100.0, svc.CallsPerSecond)
	require.Equal(t, 8, svc.Slots)
	require.Equal(t, Measure{ProbeRate: 0.75, MaxProbeRate: 3}, svc.Measure)
	require.Equal(t, 0.8, svc.DCs[0].Share)
	require.Equal(t, 0.2, svc.DCs[1].Share)
	require.Equal(t, 3, svc.DCs[1].BusySlots)
	require.Equal(t, 80.0, svc.DCs[0].Servers[0].CallsPerSecond)
	require.Equal(t, 0.2, svc.Versions[1].Share)
	require.Equal(t, 0.05, svc.Versions[1].TargetShare)
	require.Equal(t, 0.2, v.Rollouts[0].MeasuredShare)
	require.Equal(t, 0.05, v.Rollouts[0].Share)
	require.Equal(t, StateSilent, v.Entries[2].State)
	require.Equal(t, []applier.Capacity{{Service: "flagboard", DC: "a", Slots: 4, BusySlots: 2}, {Service: "flagboard", DC: "b", BusySlots: 3}}, v.Capacity())
	require.Equal(t, map[string]int{"v1": 4, "v2": 4}, v.AnnouncedSlots("flagboard"))
	require.Equal(t, &applier.Target{Service: "flagboard", DC: "a", Slots: 4}, v.Target("s1"))
	require.Nil(t, v.Target("s9"))
}

// TestStates guards against a state without a reason, and against a drained server that is shown as in service.
func TestStates(t *testing.T) {
	at := now.Add(-time.Minute).UnixMilli()
	idle := newRow("s1", "a", "v1", StateReady, 0)
	idle.BusySlots = 0
	tests := []struct {
		name           string
		change         func(*sycamorevane.State)
		loads          []LoadRow
		server, pool   string
		dc, reasonPart string
	}{
		{"ready", nil, []LoadRow{idle}, StateReady, StateReady, StateReady, "1 of 1 servers ready"},
		{"cold", nil, []LoadRow{newRow("s1", "a", "v1", StateCold, 0)}, StateCold, StateCold, StateCold, "1 cold"},
		{"slow", nil, []LoadRow{newRow("s1", "a", "v1", StateSlow, 0)}, StateSlow, StateSlow, StateSlow, "1 slow"},
		{"failing", nil, []LoadRow{newRow("s1", "a", "v1", StateFailing, 0)}, StateFailing, StateFailing, StateFailing, "1 failing"},
		{"announced draining", nil, []LoadRow{newRow("s1", "a", "v1", StateDraining, 0)}, StateDraining, StateDown, StateDown, "0 of 1 servers ready"},
		{"owner silent", nil, []LoadRow{newRow("s1", "a", "v1", "", 0)}, StateSilent, StateDown, StateDown, "0 of 1"},
		{"server drained", func(s *sycamorevane.State) { s.DrainedServers = map[string]int64{"s1": at} }, []LoadRow{idle}, StateDrained, StateDown, StateDown, "0 of 1"},
		{"centre draining", func(s *sycamorevane.State) { s.DrainedDCs = map[string]int64{"a": at} }, []LoadRow{newRow("s1", "a", "v1", StateReady, 1)}, StateDraining, StateDraining, StateDraining, "still running: 1"},
		{"centre drained", func(s *sycamorevane.State) { s.DrainedDCs = map[string]int64{"a": at} }, []LoadRow{idle}, StateDrained, StateDrained, StateDrained, "taken out by operators at 07:59:00"},
		{"centre returning", func(s *sycamorevane.State) { s.UndrainedDCs = map[string]int64{"a": at} }, []LoadRow{newRow("s1", "a", "v1", StateCold, 0)}, StateCold, StateReturning, StateReturning, "back since 07:59:00"},
		{"no server", nil, nil, "", StateDown, StateDown, "no server has announced itself"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testState()
			if tt.change != nil {
				tt.change(s)
			}
			v := render(s, summary("e1", 0, tt.loads...))
			p := v.Services[0].DCs[0]
			require.Equal(t, tt.pool, p.State, p.Reason)
			require.NotEmpty(t, p.Reason)
			require.Equal(t, tt.dc, v.DCs[0].State)
			require.Contains(t, v.DCs[0].Reason, tt.reasonPart)
			if tt.server != "" {
				require.Equal(t, tt.server, p.Servers[0].State)
			}
		})
	}
}

// TestEntries guards against an entry shown as ready although it is lost, shutting down or has an old state.
func TestEntries(t *testing.T) {
	leaving, behind := summary("e1", 0), summary("e1", 0)
	leaving.ShuttingDown = true
	behind.Version = 8
	for want, s := range map[string]Summary{
		StateReady: summary("e1", 0), StateSilent: summary("e1", 4*time.Second), StateLeaving: leaving, StateBehind: behind,
	} {
		h := render(testState(), s).Entries
		require.Equal(t, want, h[0].State)
		require.Equal(t, want != StateReady, h[0].Reason != "")
		require.Equal(t, Host{Name: "e2", DC: "b", State: StateSilent, Reason: "has not reported"}, h[1])
	}
}

// TestWire guards against summaries and views that differ after encoding and decoding.
func TestWire(t *testing.T) {
	s := summary("e1", 0, newRow("s1", "a", "v1", StateReady, 5), LoadRow{Service: "flagboard", DC: "b", Version: "v1", Calls: 3, P99: time.Second})
	s.Loads[0].ProbeRate = 0.125
	s.Loads[0].MaxProbeRate = 2
	s.Loads[0].Reason = "answers well"
	s.ShuttingDown = true
	data, err := proto.Marshal(EncodeSummary(s))
	require.NoError(t, err)
	var m encoder.LoadSummary
	require.NoError(t, proto.Unmarshal(data, &m))
	require.Equal(t, s, DecodeSummary(&m, now))

	v := render(testState(), s)
	push, err := EncodeView(v)
	require.NoError(t, err)
	got, err := DecodeView(push)
	require.NoError(t, err)
	require.Equal(t, v, got)
	require.False(t, got.Newer(v))
	require.True(t, got.Newer(&View{Term: 2, Seq: 99}))
	push.Seq++
	_, err = DecodeView(push)
	require.ErrorContains(t, err, "was sent as 3.5")
	push.View = push.View[:len(push.View)-5]
	_, err = DecodeView(push)
	require.Error(t, err)
}

// inputOfSize returns an input with the given numbers of services, data centres, servers and entry hosts.
func inputOfSize(services, dcs, servers, entries int) Input {
	s := &sycamorevane.State{Version: 77}
	r := rand.New(rand.NewPCG(1, 2))
	in := Input{Term: 1, Seq: 1, Now: now, State: s}
	for i := range dcs {
		s.Config.DCs = append(s.Config.DCs, fmt.Sprintf("plateau-%d", i))
	}
	for i := range services {
		s.Config.Services = append(s.Config.Services, sycamorevane.Service{Name: fmt.Sprintf("marker-registry-%d", i)})
	}
	for i := range entries {
		in.Entries = append(in.Entries, summary(fmt.Sprintf("entry-%d", i), 0))
	}
	for i := range servers {
		l := newRow(fmt.Sprintf("%016x", r.Uint64()), s.Config.DCs[i%dcs], "v1", StateReady, r.Uint64N(400))
		l.Service = s.Config.Services[i%services].Name
		l.Addr = fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250)
		owner := &in.Entries[i%entries]
		owner.Loads = append(owner.Loads, l)
	}
	// Every entry sends requests to every pool.
	for e := range in.Entries {
		for i := range services * dcs {
			l := LoadRow{Service: s.Config.Services[i%services].Name, DC: s.Config.DCs[i%dcs], Version: "v1", Calls: r.Uint64N(50), P50: time.Millisecond, P99: 9 * time.Millisecond}
			in.Entries[e].Loads = append(in.Entries[e].Loads, l)
		}
	}
	return in
}

const (
	// maxSummaryBytesSmall limits an entry's summary at the present size of the system, 33 servers. All control traffic of
	// one process together may use 7 KB per second.
	maxSummaryBytesSmall = 3 << 10
	// maxViewBytesSmall limits the compressed view at the present size of the system.
	maxViewBytesSmall = 4 << 10
)

// TestMessageSizes guards against control messages that exceed the limits of control traffic.
func TestMessageSizes(t *testing.T) {
	sizes := func(in Input) (summary, json, push int) {
		for _, s := range in.Entries {
			r := NewReporter(0)
			r.Add(now, s.Window, s.Loads)
			m := r.Next(now, Summary{Entry: s.Entry, DC: s.DC, Version: s.Version, Window: s.Window})
			summary = max(summary, proto.Size(m))
		}
		v := Render(in)
		m, err := EncodeView(v)
		require.NoError(t, err)
		return summary, len(mustJSON(t, v)), len(m.View)
	}
	s, j, p := sizes(inputOfSize(2, 3, 33, 16))
	t.Logf("33 servers: summary %d bytes, view %d bytes, compressed %d bytes", s, j, p)
	require.Less(t, s, maxSummaryBytesSmall)
	require.Less(t, p, maxViewBytesSmall)
	s, j, p = sizes(inputOfSize(190, 7, 2200, 100))
	t.Logf("2,200 servers: summary %d bytes, view %d bytes, compressed %d bytes", s, j, p)
	require.LessOrEqual(t, s, MaxSummaryBytes)
	require.Less(t, j, MaxViewBytes/10)
}

// TestReporter guards against calls that are lost or counted twice when not all rows fit into one summary, and against
// pools that are never sent.
func TestReporter(t *testing.T) {
	for _, limit := range []int{0, 600} {
		reporter, store := NewReporter(limit), NewSummaryStore()
		r := rand.New(rand.NewPCG(3, uint64(limit)))
		var sent, got uint64
		at := now
		tick := func(loads []LoadRow) {
			at = at.Add(time.Second)
			reporter.Add(at, time.Second, loads)
			s := DecodeSummary(reporter.Next(at, Summary{Entry: "e1", Window: time.Second}), at)
			if len(loads) > 0 {
				require.Equal(t, limit == 0, s.Full)
			}
			for _, l := range s.Loads {
				if !l.Owner {
					got += l.Calls
				}
			}
			store.Merge(s)
		}
		for range 20 {
			loads := []LoadRow{newRow("s1", "a", "v1", StateReady, 7)}
			for i := range 40 {
				l := LoadRow{Service: fmt.Sprintf("service-%d", i), DC: "b", Version: "v1", Calls: 1 + r.Uint64N(9), BusySlots: 1}
				sent += l.Calls
				loads = append(loads, l)
			}
			tick(loads)
		}
		list := store.Summaries(at)[0].Loads
		require.Len(t, list, 41, "every pool and the owned server are known")
		for _, l := range list {
			if rate := float64(l.Calls) / cmp.Or(l.Window, time.Second).Seconds(); !l.Owner {
				require.InDelta(t, 5, rate, 4, "rates do not depend on how often a row is sent")
			}
		}
		for len(reporter.rows) > 0 {
			tick(nil)
		}
		require.Equal(t, sent, got)
		require.Empty(t, store.Summaries(at)[0].Loads, "pools without traffic disappear")
	}
}

// TestBoard guards against values of a lost entry that stay in the view.
func TestBoard(t *testing.T) {
	store := NewSummaryStore()
	other := newRow("", "b", "v1", "", 5)
	other.Owner = false
	store.Merge(summary("e1", 0, newRow("s1", "a", "v1", StateReady, 1), other))
	require.Len(t, store.Summaries(now)[0].Loads, 2)
	store.Merge(summary("e1", -RowTTL, newRow("s1", "a", "v1", StateReady, 1)))
	require.Len(t, store.Summaries(now.Add(RowTTL))[0].Loads, 2)
	require.Len(t, store.Summaries(now.Add(RowTTL + time.Second))[0].Loads, 1, "rows end unless renewed")
	require.Empty(t, store.Summaries(now.Add(RowTTL + StaleAfter + time.Second))[0].Loads)
	store.Forget("e1")
	require.Empty(t, store.Summaries(now))
}

func mustJSON(t testing.TB, v any) []byte {
	data, err := json.Marshal(v)
	require.NoError(t, err)
	return data
}

// maxRenderTime limits the time to compute a view of the size expected in two years; a view is computed each second.
const maxRenderTime = 100 * time.Millisecond

// BenchmarkEncodeView measures the encoding of a view of the size expected in two years, which the leader does each
// second.
func BenchmarkEncodeView(b *testing.B) {
	v := Render(inputOfSize(190, 7, 2200, 16))
	for b.Loop() {
		_, err := EncodeView(v)
		require.NoError(b, err)
	}
}

// BenchmarkDecodeView measures the decoding of the same view, which each other control host does each second.
func BenchmarkDecodeView(b *testing.B) {
	m, err := EncodeView(Render(inputOfSize(190, 7, 2200, 16)))
	require.NoError(b, err)
	for b.Loop() {
		_, err := DecodeView(m)
		require.NoError(b, err)
	}
}

func BenchmarkRender(b *testing.B) {
	in := inputOfSize(190, 7, 2200, 16)
	for b.Loop() {
		Render(in)
	}
	if per := b.Elapsed() / time.Duration(b.N); per > maxRenderTime {
		b.Errorf("one view takes %v; the bound is %v", per, maxRenderTime)
	}
}

// TestPageIsSelfContained guards against external assets, which cannot be loaded in a control room without access to
// other networks, and against data inserted as HTML.
func TestPageIsSelfContained(t *testing.T) {
	page := string(Page)
	for _, banned := range []string{"src=", "href=", "@import", "url(", "innerHTML", "https://"} {
		require.NotContains(t, page, banned)
	}
	require.Equal(t, 1, strings.Count(page, "http://"), "only the SVG name space")
	for _, state := range []string{
		StateReady, StateCold, StateSlow, StateFailing, StateDraining, StateDrained, StateReturning, StateSilent, StateDown,
		StateLeaving, StateBehind, "waiting", "trial", "moving", "done", "reverting", "reverted", "leader", "voter", "learner",
	} {
		require.Regexp(t, `(?m)^  `+state+`: \[`, page, "every state has a shape")
	}
}
