package viewer

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/messenger"
	"sycamorevane.example/sycamorevane/renderer"
)

func startViewer(t *testing.T, name, leader string) (*Viewer, *messenger.Messenger) {
	t.Helper()
	transport, err := messenger.New(messenger.Config{
		Self: name, DC: "a", Roles: sycamorevane.NewSet(sycamorevane.RoleControl), ListenAddr: "127.0.0.1:0",
		ClusterKey: "a cluster key for tests", Log: logr.Discard(),
	})
	require.NoError(t, err)
	machine := applier.New()
	host := func(n, addr string) sycamorevane.Host {
		return sycamorevane.Host{Name: n, DC: "a", MeshAddr: "127.0.0.1:" + addr, OperatorAddr: "127.0.0.2:" + addr, Roles: sycamorevane.NewSet(sycamorevane.RoleControl)}
	}
	data, err := applier.Encode(applier.Command{ID: "1", Op: applier.OpApply, Actor: "ann", Args: applier.Args{Config: &sycamorevane.Config{
		DCs: []string{"a"}, Services: []sycamorevane.Service{{Name: "s"}}, Hosts: []sycamorevane.Host{host("c1", "1"), host("c2", "2")},
	}}})
	require.NoError(t, err)
	outcome, err := applier.DecodeOutcome(machine.Apply(sycamorevane.LogEntry{Index: 1, Term: 1, Data: data}))
	require.NoError(t, err)
	require.Equal(t, applier.ResultApplied, outcome.Result, outcome.Reason)
	v := New(Config{
		Transport: transport, StateMachine: machine, Log: logr.Discard(),
		CurrentLeader: func() (string, bool, uint64) { return leader, leader == name, 3 },
		ControlStatus: func() []renderer.Control { return nil },
	})
	transport.Start()
	v.Start()
	t.Cleanup(func() { v.Close(); transport.Close() })
	return v, transport
}

// Guards against different views with the same number on two control hosts.
func TestOneNumberIsOneView(t *testing.T) {
	leaderViewer, leaderTransport := startViewer(t, "c1", "c1")
	followerViewer, followerTransport := startViewer(t, "c2", "c1")
	leaderTransport.Connect("c2", "a", followerTransport.Addr())
	require.Eventually(t, func() bool { return followerViewer.View() != nil }, 5*time.Second, 10*time.Millisecond)
	seen := make(map[string][]byte)
	for range 200 {
		for _, v := range []*Viewer{leaderViewer, followerViewer} {
			view := v.View()
			data, err := json.Marshal(view)
			require.NoError(t, err)
			if first, ok := seen[view.Number]; ok {
				require.JSONEq(t, string(first), string(data))
			}
			seen[view.Number] = data
		}
		time.Sleep(5 * time.Millisecond)
	}
	require.NotEmpty(t, seen)
}

// Guards against a newer view that is replaced by a delayed view of a former leader.
func TestViewNeverGoesBack(t *testing.T) {
	v, _ := startViewer(t, "c2", "c1")
	for _, at := range []struct{ term, seq uint64 }{{2, 9}, {3, 1}, {2, 10}, {3, 0}} {
		v.storeIfNewer(&renderer.View{Term: at.term, Seq: at.seq})
	}
	require.EqualValues(t, 3, v.View().Term)
	require.EqualValues(t, 1, v.View().Seq)
}
