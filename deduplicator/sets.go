package deduplicator

import (
	"encoding/binary"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/placer"
)

const (
	// buckets divides the keys; all keys of a bucket have the same holders.
	buckets = 256
	// holders is the size of a holder set when enough hosts are configured.
	holders = 5
)

// claimKey is the key of a claim within the system. The lengths keep workspaces from forging each other's keys.
func claimKey(c *sycamorevane.Claim) string {
	b := make([]byte, 0, len(c.Workspace)+len(c.Service)+len(c.Key)+4)
	b = binary.AppendUvarint(b, uint64(len(c.Workspace)))
	b = append(b, c.Workspace...)
	b = binary.AppendUvarint(b, uint64(len(c.Service)))
	b = append(b, c.Service...)
	b = append(b, c.Key...)
	return string(b)
}

// bucketOf returns the bucket of a key among n.
func bucketOf(key string, n int) int { return int(xxhash.Sum64String(key) % uint64(n)) }

// set is the holder set of one bucket.
type set struct {
	members []string
	hash    uint64
}

// quorum is the number of votes that lets a claim run.
func (s *set) quorum() int { return len(s.members)/2 + 1 }

// fetches is how many other members a recovering one must hear: any that many include one of each quorum.
func (s *set) fetches() int { return len(s.members) - s.quorum() + 1 }

func (s *set) has(host string) bool { return slices.Contains(s.members, host) }

// ring holds the holder set of each bucket for one list of hosts.
type ring struct {
	hosts []string
	sets  []set
}

func newRing(hosts []string, n int) *ring {
	r := &ring{hosts: slices.Clone(hosts), sets: make([]set, n)}
	for b := range r.sets {
		r.sets[b] = chooseSet(uint32(b), r.hosts)
	}
	return r
}

// chooseSet takes the hosts with the highest rendezvous hashes, so that replacing one host changes one member.
func chooseSet(bucket uint32, hosts []string) set {
	s := set{members: placer.TopHosts(strconv.FormatUint(uint64(bucket), 10), hosts, holders)}
	slices.Sort(s.members)
	s.hash = xxhash.Sum64String(strings.Join(s.members, "\x00"))
	return s
}
