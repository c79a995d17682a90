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

// maxHistory is how many former states changes can start from. An entry that has an older one gets the whole state.
const maxHistory = 64

// change is what differs between two states. Parts that are the same in both are nil. Servers that leave are the most
// frequent change by far, so that only those that differ are named.
type change struct {
	Version         uint64
	Config          *part[sycamorevane.Config]
	DrainedDCs      *part[map[string]int64]
	UndrainedDCs    *part[map[string]int64] `json:"Returned"`
	Rollouts        *part[map[string]sycamorevane.Rollout]
	ServingVersions *part[map[string]string] `json:"Serving"`
	Left            map[string]int64
	Forgotten       []string
}

// part is a part of the state that differs. It tells an empty one from one that is the same.
type part[T any] struct{ Now T }

func difference(from, to *sycamorevane.State) *change {
	c := &change{Version: to.Version, Left: make(map[string]int64)}
	if !sameConfig(&from.Config, &to.Config) {
		cfg := to.Config
		cfg.Document = nil // Only operators read it.
		c.Config = &part[sycamorevane.Config]{cfg}
	}
	if !maps.Equal(from.DrainedDCs, to.DrainedDCs) {
		c.DrainedDCs = &part[map[string]int64]{to.DrainedDCs}
	}
	if !maps.Equal(from.UndrainedDCs, to.UndrainedDCs) {
		c.UndrainedDCs = &part[map[string]int64]{to.UndrainedDCs}
	}
	if !reflect.DeepEqual(from.Rollouts, to.Rollouts) {
		c.Rollouts = &part[map[string]sycamorevane.Rollout]{to.Rollouts}
	}
	if !maps.Equal(from.ServingVersions, to.ServingVersions) {
		c.ServingVersions = &part[map[string]string]{to.ServingVersions}
	}
	for id, at := range to.DrainedServers {
		if was, ok := from.DrainedServers[id]; !ok || was != at {
			c.Left[id] = at
		}
	}
	for id := range from.DrainedServers {
		if _, ok := to.DrainedServers[id]; !ok {
			c.Forgotten = append(c.Forgotten, id)
		}
	}
	return c
}

// sameConfig compares numbered configurations by their numbers: one number never stands for two of them.
func sameConfig(a, b *sycamorevane.Config) bool {
	if a.SequenceNumber != 0 || b.SequenceNumber != 0 {
		return a.SequenceNumber == b.SequenceNumber
	}
	return reflect.DeepEqual(a, b)
}

// apply returns the state after the change, which must start from st.
func (c *change) apply(st *sycamorevane.State) *sycamorevane.State {
	next := *st
	next.Version = c.Version
	if c.Config != nil {
		next.Config = c.Config.Now
	}
	if c.DrainedDCs != nil {
		next.DrainedDCs = c.DrainedDCs.Now
	}
	if c.UndrainedDCs != nil {
		next.UndrainedDCs = c.UndrainedDCs.Now
	}
	if c.Rollouts != nil {
		next.Rollouts = c.Rollouts.Now
	}
	if c.ServingVersions != nil {
		next.ServingVersions = c.ServingVersions.Now
	}
	if len(c.Left) == 0 && len(c.Forgotten) == 0 {
		return &next
	}
	next.DrainedServers = make(map[string]int64, len(st.DrainedServers)+len(c.Left))
	maps.Copy(next.DrainedServers, st.DrainedServers)
	maps.Copy(next.DrainedServers, c.Left)
	for _, id := range c.Forgotten {
		delete(next.DrainedServers, id)
	}
	return &next
}

// Apply returns the state after an encoded change that starts from st. It leaves st as it is.
func Apply(st *sycamorevane.State, data []byte) (*sycamorevane.State, error) {
	c := &change{}
	if err := unpack(data, c); err != nil {
		return nil, errors.Trace(err)
	}
	return c.apply(st), nil
}

// history holds former states that entries may have.
type history struct {
	states []*sycamorevane.State
	// encoded holds the changes to the last state by the version that they start from.
	encoded map[uint64][]byte
}

func (h *history) add(st *sycamorevane.State) {
	if n := len(h.states); n > 0 && h.states[n-1].Version >= st.Version {
		return
	}
	h.states = append(h.states, st)
	if len(h.states) > maxHistory {
		h.states = h.states[1:]
	}
	h.encoded = make(map[uint64][]byte)
}

// since returns the encoded change from a version to the last state; false when that version is not known any more.
func (h *history) since(version uint64) ([]byte, bool, error) {
	if data, ok := h.encoded[version]; ok {
		return data, true, nil
	}
	for _, st := range h.states {
		if st.Version != version {
			continue
		}
		data, err := pack(difference(st, h.states[len(h.states)-1]))
		if err != nil {
			return nil, false, errors.Trace(err)
		}
		h.encoded[version] = data
		return data, true, nil
	}
	return nil, false, nil
}

func pack(v any) ([]byte, error) {
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

// unpack refuses what takes more than maxState.
func unpack(data []byte, v any) error {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(json.NewDecoder(io.LimitReader(r, maxState)).Decode(v))
}
