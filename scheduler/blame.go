package scheduler

import (
	"maps"
	"time"

	"sycamorevane.example/sycamorevane"
)

const (
	// maxBlamed is the number of servers that the failures of one entry may pause within blamePeriod. An entry whose own
	// path to the servers is broken sees all of them fail, and must not take them from the other entries.
	maxBlamed   = 2
	blamePeriod = time.Second
)

// blames holds, by entry, the servers that it has recently reported as failing.
type blames map[string]map[string]time.Time

// blamesServer reports whether the outcome may be due to the path between the entry and the server.
func blamesServer(kind sycamorevane.OutcomeKind) bool {
	return kind == sycamorevane.OutcomeConnectFailed || kind == sycamorevane.OutcomeTimeout || kind == sycamorevane.OutcomeIncomplete
}

// credible records a failure and reports whether it may pause the server.
func (b blames) credible(now time.Time, entry, server string) bool {
	servers := b[entry]
	if servers == nil {
		servers = make(map[string]time.Time)
		b[entry] = servers
	}
	maps.DeleteFunc(servers, func(_ string, at time.Time) bool { return now.Sub(at) > blamePeriod })
	if _, known := servers[server]; !known && len(servers) >= maxBlamed {
		return false
	}
	servers[server] = now
	return true
}
