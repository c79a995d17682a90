// Package placer assigns keys to hosts by rendezvous hashing. The score of a host depends only on the key and the
// host, so when a host joins or leaves, only the keys that it gains or loses move.
package placer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the score of a host for a key. The host with the highest score owns the key.
func Score(key, host string) uint64 {
	d := xxhash.NewWithSeed(0)
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0}) // The separator distinguishes "ab"+"c" from "a"+"bc".
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

// PoolOwner returns the entry that owns the pool of a service's servers in a data centre: it keeps their leases and
// lends their slots.
func PoolOwner(service, dc string, entries []string) string { return Owner(service+"/"+dc, entries) }

// TopHosts returns the n hosts with the highest scores, best first, or all if there are fewer.
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
