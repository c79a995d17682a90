package applier

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
)

// durationKeys are the configuration keys with durations: milliseconds in the external form, nanoseconds in
// sycamorevane.Config.
var durationKeys = sycamorevane.NewSet("timeout", "progress", "lease", "ttl", "retention")

// DurationError reports that a duration in a configuration is not a valid number of milliseconds.
type DurationError struct {
	Key   string
	Value string
}

func (e *DurationError) Error() string {
	return fmt.Sprintf("%q is %s; it must be a time in milliseconds", e.Key, e.Value)
}

// EncodeConfig returns the external JSON form of a configuration, with lower-case keys and durations in milliseconds.
func EncodeConfig(cfg *sycamorevane.Config) (json.RawMessage, error) {
	data, err := json.Marshal(cfg)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return convertConfig(data, func(key string, t float64) (float64, error) { return t / float64(time.Millisecond), nil })
}

// DecodeConfig decodes the external JSON form and rejects unknown fields. Errors: *DurationError and those of
// encoding/json.
func DecodeConfig(data []byte) (*sycamorevane.Config, error) {
	inner, err := convertConfig(data, func(key string, t float64) (float64, error) {
		ns := math.Round(t * float64(time.Millisecond))
		if !(ns >= 0 && ns < math.MaxInt64) {
			return 0, &DurationError{Key: key, Value: fmt.Sprint(t)}
		}
		return ns, nil
	})
	if err != nil {
		return nil, err
	}
	var cfg sycamorevane.Config
	d := json.NewDecoder(bytes.NewReader(inner))
	d.DisallowUnknownFields()
	if err := d.Decode(&cfg); err != nil {
		return nil, err
	}
	return &cfg, nil
}

// convertConfig converts all keys to lower case and all durations with f.
func convertConfig(data []byte, f func(key string, t float64) (float64, error)) ([]byte, error) {
	var tree any
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	if err := d.Decode(&tree); err != nil {
		return nil, err
	}
	tree, err := convertNode(tree, f)
	if err != nil {
		return nil, err
	}
	return json.Marshal(tree)
}

func convertNode(node any, f func(key string, t float64) (float64, error)) (any, error) {
	var err error
	switch n := node.(type) {
	case []any:
		for i := range n {
			if n[i], err = convertNode(n[i], f); err != nil {
				return nil, err
			}
		}
	case map[string]any:
		out := make(map[string]any, len(n))
		for k, v := range n {
			key := strings.ToLower(k)
			if _, duplicate := out[key]; duplicate {
				return nil, errors.Errorf("key %q is given twice", key)
			}
			if durationKeys.Has(key) {
				out[key], err = convertDuration(key, v, f)
			} else {
				out[key], err = convertNode(v, f)
			}
			if err != nil {
				return nil, err
			}
		}
		return out, nil
	}
	return node, nil
}

func convertDuration(key string, v any, f func(key string, t float64) (float64, error)) (any, error) {
	n, ok := v.(json.Number)
	if !ok {
		return nil, &DurationError{Key: key, Value: fmt.Sprint(v)}
	}
	t, err := n.Float64()
	if err != nil {
		return nil, &DurationError{Key: key, Value: n.String()}
	}
	if t, err = f(key, t); err != nil {
		return nil, err
	}
	if t == math.Trunc(t) {
		return json.Number(fmt.Sprintf("%.0f", t)), nil
	}
	return t, nil
}
