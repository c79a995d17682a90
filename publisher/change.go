package publisher

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"maps"
	"reflect"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
)

// maxHistoryStates is the number of former states for which changes can be made. An entry with an older state gets the
// whole state.
const maxHistoryStates = 64

// change is the difference between two states. Fields that are the same in both are nil. Drained servers change far
// more often than anything else, so only the servers that differ are sent.
type change struct {
	Version         uint64
	Config          *changedValue[sycamorevane.Config]
	DrainedDCs      *changedValue[map[string]int64]
	UndrainedDCs    *changedValue[map[string]int64] `json:"Returned"`
	Rollouts        *changedValue[map[string]sycamorevane.Rollout]
	ServingVersions *changedValue[map[string]string] `json:"Serving"`
	Quarantined     *changedValue[map[string]int64]
	// UpdatedDrainedServers holds the servers that are new in State.DrainedServers or have another time there.
	UpdatedDrainedServers map[string]int64 `json:"Left"`
	// RemovedDrainedServers lists the servers that are no longer in State.DrainedServers.
	RemovedDrainedServers []string `json:"Forgotten"`
}

// changedValue is the new value of a field of the state. It distinguishes a field that is now empty from one that has
// not changed.
type changedValue[T any] struct {
	Value T `json:"Now"`
}

func newChange(from, to *sycamorevane.State) *change {
	c := &change{Version: to.Version, UpdatedDrainedServers: make(map[string]int64)}
	if !sameConfig(&from.Config, &to.Config) {
		cfg := to.Config
		cfg.Document = nil // Only operators read the document.
		c.Config = &changedValue[sycamorevane.Config]{cfg}
	}
	if !maps.Equal(from.DrainedDCs, to.DrainedDCs) {
		c.DrainedDCs = &changedValue[map[string]int64]{to.DrainedDCs}
	}
	if !maps.Equal(from.UndrainedDCs, to.UndrainedDCs) {
		c.UndrainedDCs = &changedValue[map[string]int64]{to.UndrainedDCs}
	}
	if !reflect.DeepEqual(from.Rollouts, to.Rollouts) {
		c.Rollouts = &changedValue[map[string]sycamorevane.Rollout]{to.Rollouts}
	}
	if !maps.Equal(from.ServingVersions, to.ServingVersions) {
		c.ServingVersions = &changedValue[map[string]string]{to.ServingVersions}
	}
	if !maps.Equal(from.Quarantined, to.Quarantined) {
		c.Quarantined = &changedValue[map[string]int64]{to.Quarantined}
	}
	for id, at := range to.DrainedServers {
		if previous, ok := from.DrainedServers[id]; !ok || previous != at {
			c.UpdatedDrainedServers[id] = at
		}
	}
	for id := range from.DrainedServers {
		if _, ok := to.DrainedServers[id]; !ok {
			c.RemovedDrainedServers = append(c.RemovedDrainedServers, id)
		}
	}
	return c
}

// sameConfig compares configurations with sequence numbers by these, because a sequence number identifies one
// configuration.
func sameConfig(a, b *sycamorevane.Config) bool {
	if a.SequenceNumber != 0 || b.SequenceNumber != 0 {
		return a.SequenceNumber == b.SequenceNumber
	}
	return reflect.DeepEqual(a, b)
}

// apply returns the state that results from st, which must be the state that the change starts from.
func (c *change) apply(st *sycamorevane.State) *sycamorevane.State {
	next := *st
	next.Version = c.Version
	if c.Config != nil {
		next.Config = c.Config.Value
	}
	if c.DrainedDCs != nil {
		next.DrainedDCs = c.DrainedDCs.Value
	}
	if c.UndrainedDCs != nil {
		next.UndrainedDCs = c.UndrainedDCs.Value
	}
	if c.Rollouts != nil {
		next.Rollouts = c.Rollouts.Value
	}
	if c.ServingVersions != nil {
		next.ServingVersions = c.ServingVersions.Value
	}
	if c.Quarantined != nil {
		next.Quarantined = c.Quarantined.Value
	}
	if len(c.UpdatedDrainedServers) == 0 && len(c.RemovedDrainedServers) == 0 {
		return &next
	}
	next.DrainedServers = make(map[string]int64, len(st.DrainedServers)+len(c.UpdatedDrainedServers))
	maps.Copy(next.DrainedServers, st.DrainedServers)
	maps.Copy(next.DrainedServers, c.UpdatedDrainedServers)
	for _, id := range c.RemovedDrainedServers {
		delete(next.DrainedServers, id)
	}
	return &next
}

// ApplyChange returns the state that results from applying an encoded change to st. It does not modify st.
func ApplyChange(st *sycamorevane.State, data []byte) (*sycamorevane.State, error) {
	c := &change{}
	if err := decodeGzip(data, c); err != nil {
		return nil, errors.Trace(err)
	}
	return c.apply(st), nil
}

// history holds the latest states, which entries may still have.
type history struct {
	states []*sycamorevane.State
	// encoded caches the encoded changes to the last state, by the version that they start from.
	encoded map[uint64][]byte
}

func (h *history) add(st *sycamorevane.State) {
	if n := len(h.states); n > 0 && h.states[n-1].Version >= st.Version {
		return
	}
	h.states = append(h.states, st)
	if len(h.states) > maxHistoryStates {
		h.states = h.states[1:]
	}
	h.encoded = make(map[uint64][]byte)
}

// encodedChange returns the encoded change from a version to the last state. It returns false if that version is not in
// the history.
func (h *history) encodedChange(version uint64) ([]byte, bool, error) {
	if data, ok := h.encoded[version]; ok {
		return data, true, nil
	}
	for _, st := range h.states {
		if st.Version != version {
			continue
		}
		data, err := encodeGzip(newChange(st, h.states[len(h.states)-1]))
		if err != nil {
			return nil, false, errors.Trace(err)
		}
		h.encoded[version] = data
		return data, true, nil
	}
	return nil, false, nil
}

func encodeGzip(v any) ([]byte, error) {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return buf.Bytes(), nil
}

// decodeGzip decodes compressed JSON of at most maxStateBytes. Larger JSON is cut off there and gives an error.
func decodeGzip(data []byte, v any) error {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(json.NewDecoder(io.LimitReader(r, maxStateBytes)).Decode(v))
}
