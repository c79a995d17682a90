package deduplicator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/faker"
)

type cluster struct {
	t     *testing.T
	mesh  *faker.Mesh
	hosts []string
	nodes map[string]*Deduplicator
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, mesh: faker.NewMesh(), nodes: make(map[string]*Deduplicator)}
	for i := range n {
		c.hosts = append(c.hosts, fmt.Sprintf("h%d", i))
	}
	for _, h := range c.hosts {
		c.start(h)
	}
	t.Cleanup(func() {
		for _, d := range c.nodes {
			d.Close()
		}
	})
	c.expectReady()
	return c
}

func (c *cluster) start(name string) {
	if old, ok := c.nodes[name]; ok {
		old.Close()
	}
	d := New(Config{
		Self: name, Transport: c.mesh.AddPeer(name), Holders: func() []string { return c.hosts }, Log: logr.Discard(),
	})
	d.Start()
	c.nodes[name] = d
}

func (c *cluster) expectReady() {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		for _, d := range c.nodes {
			if !d.Ready() {
				return false
			}
		}
		return true
	}, 10*time.Second, 10*time.Millisecond)
}

func claimOf(key string, token uint64) sycamorevane.Claim {
	return sycamorevane.Claim{Workspace: "f", Service: "s", Key: key, Digest: 1, Token: token}
}

func (c *cluster) expectState(host string, claim sycamorevane.Claim, want sycamorevane.ClaimState) sycamorevane.ClaimResult {
	c.t.Helper()
	res, err := c.nodes[host].Claim(context.Background(), claim)
	require.NoError(c.t, err)
	assert.Equal(c.t, want, res.State)
	return res
}

// Guards against a claim that is lost, given twice or answered wrongly between the entries of a running mesh.
func TestClaimsAcrossEntries(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 5)
	ctx := context.Background()

	one := claimOf("order-1", 1)
	c.expectState("h0", one, sycamorevane.ClaimFresh)
	c.expectState("h1", claimOf("order-1", 2), sycamorevane.ClaimRunning)
	other := claimOf("order-1", 3)
	other.Digest = 2
	c.expectState("h1", other, sycamorevane.ClaimMismatch)
	answer := &sycamorevane.RecordedResponse{Status: 201, Header: map[string][]string{"X-A": {"b"}}, Body: []byte("done")}
	require.NoError(t, c.nodes["h0"].Finish(ctx, one, answer))
	assert.Equal(t, answer, c.expectState("h4", claimOf("order-1", 4), sycamorevane.ClaimAnswered).Response)

	two := claimOf("order-2", 5)
	c.expectState("h0", two, sycamorevane.ClaimFresh)
	require.NoError(t, c.nodes["h0"].Abandon(ctx, two))
	c.expectState("h2", claimOf("order-2", 6), sycamorevane.ClaimFresh)
	require.NoError(t, c.nodes["h2"].Finish(ctx, claimOf("order-2", 6), nil))
	c.expectState("h3", claimOf("order-2", 7), sycamorevane.ClaimUncertain)

	// The answer must survive restarts of two holders, one after the other.
	for _, h := range []string{"h1", "h2"} {
		c.start(h)
		c.expectReady()
	}
	c.expectState("h1", claimOf("order-1", 8), sycamorevane.ClaimAnswered)

	// A side without a quorum must refuse, and the other must go on.
	c.mesh.Partition(1, "h0", "h1")
	_, err := c.nodes["h0"].Claim(ctx, claimOf("order-3", 9))
	var refused *sycamorevane.RefusedError
	require.True(t, errors.As(err, &refused), "%v", err)
	c.expectState("h4", claimOf("order-3", 10), sycamorevane.ClaimFresh)
	c.mesh.Partition(0, "h0", "h1")
	c.expectState("h0", claimOf("order-3", 11), sycamorevane.ClaimRunning)
}

// Guards against two copies that both run when they are sent through different entries at once.
func TestSimultaneousResends(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 5)
	for i := range 50 {
		var wg sync.WaitGroup
		var mu sync.Mutex
		fresh := 0
		for n, h := range c.hosts {
			wg.Go(func() {
				res, err := c.nodes[h].Claim(context.Background(), claimOf(fmt.Sprint("key", i), uint64(10*i+n+1)))
				if err == nil && res.State == sycamorevane.ClaimFresh {
					mu.Lock()
					fresh++
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		assert.LessOrEqual(t, fresh, 1, "key %d", i)
	}
}

func BenchmarkClaimAndFinish(b *testing.B) {
	mesh := faker.NewMesh()
	hosts := []string{"h0", "h1", "h2", "h3", "h4"}
	var nodes []*Deduplicator
	for _, h := range hosts {
		d := New(Config{Self: h, Transport: mesh.AddPeer(h), Holders: func() []string { return hosts }, Log: logr.Discard()})
		d.Start()
		defer d.Close()
		nodes = append(nodes, d)
	}
	for !nodes[0].Ready() || !nodes[1].Ready() || !nodes[2].Ready() {
		time.Sleep(10 * time.Millisecond)
	}
	ctx := context.Background()
	answer := &sycamorevane.RecordedResponse{Status: 200, Body: []byte("ok")}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		claim := claimOf(fmt.Sprint(i), uint64(i+1))
		if res, err := nodes[0].Claim(ctx, claim); err != nil || res.State != sycamorevane.ClaimFresh {
			b.Fatal(res, err)
		}
		if err := nodes[0].Finish(ctx, claim, answer); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against a configured retention that has no effect: the key must be free again after it.
func TestConfiguredRetention(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 5)
	for _, d := range c.nodes {
		d.SetRetention(200 * time.Millisecond)
	}
	first := claimOf("short", 1)
	c.expectState("h0", first, sycamorevane.ClaimFresh)
	require.NoError(t, c.nodes["h0"].Finish(context.Background(), first, &sycamorevane.RecordedResponse{Status: 200}))
	require.Eventually(t, func() bool {
		res, err := c.nodes["h1"].Claim(context.Background(), claimOf("short", 2))
		return err == nil && res.State == sycamorevane.ClaimFresh
	}, 15*time.Second, 100*time.Millisecond)
}
