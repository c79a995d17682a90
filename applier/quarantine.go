package applier

import (
	"maps"

	"sycamorevane.example/sycamorevane"
)

// MaxQuarantined is the maximum number of quarantined requests. Entries receive all of them with the state.
const MaxQuarantined = 1024

// quarantine adds and removes quarantined requests. Above MaxQuarantined, the oldest are removed.
func quarantine(s *sycamorevane.State, c Command) decision {
	for _, fingerprint := range c.Args.Quarantined {
		if _, err := sycamorevane.ParseFingerprint(fingerprint); err != nil {
			return refuse("%q is no fingerprint", fingerprint)
		}
	}
	released := sycamorevane.NewSet(c.Args.Released...)
	quarantined := filterKeys(s.Quarantined, func(fingerprint string) bool { return !released.Has(fingerprint) })
	for _, fingerprint := range c.Args.Quarantined {
		if _, ok := quarantined[fingerprint]; !ok {
			quarantined[fingerprint] = c.AcceptedAt
		}
	}
	for len(quarantined) > MaxQuarantined {
		delete(quarantined, oldestKey(quarantined))
	}
	if maps.Equal(quarantined, s.Quarantined) {
		return unchanged("the same requests are quarantined already")
	}
	next := *s
	next.Quarantined = quarantined
	return applied(&next)
}

// oldestKey returns the key with the lowest time; of several, the first in order, so that all control hosts remove the same one.
func oldestKey(times map[string]int64) string {
	oldest := ""
	for key, at := range times {
		if oldest == "" || at < times[oldest] || (at == times[oldest] && key < oldest) {
			oldest = key
		}
	}
	return oldest
}
