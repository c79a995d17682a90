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
	// bucketCount is the number of buckets that keys are hashed into. All keys of a bucket have the same replica set.
	bucketCount = 256
	// replicasPerBucket is the size of a replica set. It is smaller when fewer hosts are configured.
	replicasPerBucket = 5
)

// claimKey returns the key under which a claim is stored, which combines workspace, service and the caller's key.
// Length prefixes keep one workspace from constructing a key of another.
func claimKey(c *sycamorevane.Claim) string {
	key := make([]byte, 0, len(c.Workspace)+len(c.Service)+len(c.Key)+4)
	key = binary.AppendUvarint(key, uint64(len(c.Workspace)))
	key = append(key, c.Workspace...)
	key = binary.AppendUvarint(key, uint64(len(c.Service)))
	key = append(key, c.Service...)
	key = append(key, c.Key...)
	return string(key)
}

// bucketIndex returns the bucket of a key, between 0 and buckets-1.
func bucketIndex(key string, buckets int) int { return int(xxhash.Sum64String(key) % uint64(buckets)) }

// replicaSet is the set of hosts that store the claims of one bucket.
type replicaSet struct {
	members []string
	// hash identifies the list of members in messages.
	hash uint64
}

// quorum returns the number of votes that a claim needs: a majority of the members.
func (s *replicaSet) quorum() int { return len(s.members)/2 + 1 }

// recoveryQuorum returns how many active members a recovering one must fetch from. Any group of this size has a member
// in common with every quorum, so that together they know every claim that a quorum voted for.
func (s *replicaSet) recoveryQuorum() int { return len(s.members) - s.quorum() + 1 }

func (s *replicaSet) contains(host string) bool { return slices.Contains(s.members, host) }

// placement holds the replica set of each bucket for one list of hosts.
type placement struct {
	hosts       []string
	replicaSets []replicaSet
}

func newPlacement(hosts []string, buckets int) *placement {
	p := &placement{hosts: slices.Clone(hosts), replicaSets: make([]replicaSet, buckets)}
	for i := range p.replicaSets {
		p.replicaSets[i] = newReplicaSet(uint32(i), p.hosts)
	}
	return p
}

// newReplicaSet selects the hosts by rendezvous hashing, so that the replacement of one host changes at most one
// member.
func newReplicaSet(bucket uint32, hosts []string) replicaSet {
	s := replicaSet{members: placer.TopHosts(strconv.FormatUint(uint64(bucket), 10), hosts, replicasPerBucket)}
	slices.Sort(s.members)
	s.hash = xxhash.Sum64String(strings.Join(s.members, "\x00"))
	return s
}
