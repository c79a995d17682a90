package cataloger

import (
	"context"
	"sync"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

// Guards against a report of an end that names no start and is read late, after a server has started again under its name: the new
// start would get no requests. Reports that name a start are true whenever they are read.
func TestLateEndWithoutStartIsDropped(t *testing.T) {
	var mu sync.Mutex
	leader := "c1"
	c, committed := startControlCatalog(t, newFakeTransports("c1", "entry")["c1"], nil, &leader, &mu)
	ctx := context.Background()
	require.NoError(t, c.Report(ctx, report("x", "1", 1, 1)))
	c.cfg.CallerWaits = func(context.Context) error { return errors.New("caller has closed the connection") }
	var unavailable *UnavailableError
	require.ErrorAs(t, c.Report(ctx, Report{Server: sycamorevane.Server{ID: "x", InstanceName: "x"}, Ended: true}), &unavailable)
	require.Empty(t, committed)
	require.False(t, c.All()[0].Leaving())
	require.NoError(t, c.Report(ctx, Report{Server: sycamorevane.Server{ID: "x", InstanceName: "x"}, StartedAt: 1, Ended: true}))
	require.True(t, committed["x"])
}
