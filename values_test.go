package sycamorevane

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sycamorevane.example/sycamorevane/seeder"
)

// Checks that the ring neither loses nor reorders items and holds no more than its size.
func TestRingKeepsOrderAndBound(t *testing.T) {
	seeder.FixSeed(t, 0)
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(t, "size")
		r := NewRing[int](size)
		var model []int
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				require.Equal(t, len(model) < size, r.Push(i))
				if len(model) < size {
					model = append(model, i)
				}
				continue
			}
			v, ok := r.Pop()
			require.Equal(t, len(model) > 0, ok)
			if ok {
				require.Equal(t, model[0], v)
				model = model[1:]
			}
		}
		require.Equal(t, len(model), r.Len())
	})
}

func TestClosedRingRejectsPush(t *testing.T) {
	r := NewRing[int](2)
	r.Close()
	require.False(t, r.Push(1))
	require.True(t, r.Closed())
	<-r.Wake()
}

func TestSetJSON(t *testing.T) {
	data, err := json.Marshal(NewSet("b", "a"))
	require.NoError(t, err)
	require.JSONEq(t, `["a","b"]`, string(data))
	var s Set[string]
	require.NoError(t, json.Unmarshal(data, &s))
	require.True(t, s.Has("a") && s.Has("b") && !s.Has("c"))
}

// Checks that each rollout phase sends calls to the right version.
func TestShareByPhase(t *testing.T) {
	rows := map[RolloutPhase]map[string]float64{
		RolloutWaiting:   {"1": 1},
		RolloutTrial:     {"1": 0.75, "2": 0.25},
		RolloutMoving:    {"1": 0.75, "2": 0.25},
		RolloutDone:      {"2": 1},
		RolloutReverting: {"1": 1},
		RolloutReverted:  {"1": 1},
	}
	for phase, want := range rows {
		t.Run(string(phase), func(t *testing.T) {
			st := State{Rollouts: map[string]Rollout{"s": {FromVersion: "1", ToVersion: "2", Phase: phase, Share: 0.25}}}
			require.Equal(t, want, st.VersionShares("s"))
		})
	}
	require.Nil(t, (&State{}).VersionShares("s"))
	require.Equal(t, map[string]float64{"1": 1}, (&State{ServingVersions: map[string]string{"s": "1"}}).VersionShares("s"))
}

// Guards against a fingerprint that reads differently on another host.
func TestFingerprintText(t *testing.T) {
	for _, fingerprint := range []uint64{1, 0xabc, 1 << 63} {
		text := FormatFingerprint(fingerprint)
		require.Len(t, text, 16)
		parsed, err := ParseFingerprint(text)
		require.NoError(t, err)
		require.Equal(t, fingerprint, parsed)
	}
	_, err := ParseFingerprint("request")
	require.Error(t, err)
}
