// Package placer assigns keys to hosts by rendezvous hashing: each host's score depends on key and host alone, so
// a host that joins or leaves moves only the keys that it gains or loses.
package placer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score is the rank of a host for a key; the highest wins.
func Score(key, host string) uint64 {
	d := xxhash.NewWithSeed(0)
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0}) // Keeps "ab"+"c" apart from "a"+"bc".
	_, _ = d.WriteString(host)
	return d.Sum64()
}

// Owner returns the host with the highest score, or "" without hosts.
func Owner(key string, hosts []string) string {
	best, score := "", uint64(0)
	for _, h := range hosts {
		if s := Score(key, h); best == "" || s > score || s == score && h < best {
			best, score = h, s
		}
	}
	return best
}

// PoolOwner returns the entry that keeps the leases and lends the slots of a service's servers in a data centre.
func PoolOwner(service, dc string, entries []string) string { return Owner(service+"/"+dc, entries) }

// TopHosts returns the n hosts with the highest scores, best first; fewer when there are fewer hosts.
func TopHosts(key string, hosts []string, n int) []string {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b string) int {
		if c := cmp.Compare(Score(key, b), Score(key, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ranked[:min(n, len(ranked))]
}
