package requester

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/commander"
)

// Options are common to all commands.
type Options struct {
	// ID is set to resend an earlier command; empty for a new one.
	ID string
	// If is the state version that the command requires; nil for any.
	If *uint64
	// Force skips the checks against capacity and known servers.
	Force bool
	// JSON prints the answer as it came.
	JSON bool
}

// Apply sends a configuration.
func (c *Client) Apply(ctx context.Context, w io.Writer, cfg *sycamorevane.Config, o Options) error {
	data, err := applier.EncodeConfig(cfg)
	if err != nil {
		return errors.Trace(err)
	}
	return c.do(ctx, w, applier.OpApply, map[string]any{"config": data}, o)
}

// DrainDC takes a data centre out.
func (c *Client) DrainDC(ctx context.Context, w io.Writer, dc string, o Options) error {
	return c.do(ctx, w, applier.OpDrain, map[string]any{"dc": dc}, o)
}

// DrainServer takes a backend server out.
func (c *Client) DrainServer(ctx context.Context, w io.Writer, id string, o Options) error {
	return c.do(ctx, w, applier.OpDrain, map[string]any{"server": id}, o)
}

// UndrainDC brings a data centre back.
func (c *Client) UndrainDC(ctx context.Context, w io.Writer, dc string, o Options) error {
	return c.do(ctx, w, applier.OpUndrain, map[string]any{"dc": dc}, o)
}

// UndrainServer brings a backend server back.
func (c *Client) UndrainServer(ctx context.Context, w io.Writer, id string, o Options) error {
	return c.do(ctx, w, applier.OpUndrain, map[string]any{"server": id}, o)
}

// Rollout moves a service to a version within a time.
func (c *Client) Rollout(ctx context.Context, w io.Writer, service, to string, by time.Duration, o Options) error {
	return c.do(ctx, w, applier.OpRollout, map[string]any{"service": service, "to": to, "by": by.Milliseconds()}, o)
}

// Rollback ends a rollout and goes back to the old version.
func (c *Client) Rollback(ctx context.Context, w io.Writer, service string, o Options) error {
	return c.do(ctx, w, applier.OpRollback, map[string]any{"service": service}, o)
}

// Replace makes the control host with take the place of old.
func (c *Client) Replace(ctx context.Context, w io.Writer, old, with string, o Options) error {
	return c.do(ctx, w, applier.OpReplace, map[string]any{"host": old, "with": with}, o)
}

func (c *Client) do(ctx context.Context, w io.Writer, op string, args map[string]any, o Options) error {
	if o.Force {
		args["force"] = true
	}
	a, err := c.Send(ctx, Command{ID: o.ID, Op: op, Args: args, If: o.If})
	if a.ID == "" {
		return err
	}
	if o.JSON {
		data, fault := json.Marshal(a)
		if fault != nil {
			return errors.Trace(fault)
		}
		fmt.Fprintf(w, "%s\n", data)
		return err
	}
	printAnswer(w, a)
	return err
}

func printAnswer(w io.Writer, a commander.CommandResponse) {
	fmt.Fprintf(w, "%s: %s %s\n", a.Result, a.Op, a.Description)
	if a.Reason != "" {
		fmt.Fprintf(w, "reason: %s\n", a.Reason)
	}
	fmt.Fprintf(w, "version: %d (was %d), set by %s at %s\n", a.Version, a.PreviousVersion, a.Actor, stamp(a.ChangedAt))
	if a.Entries != nil {
		fmt.Fprintf(w, "in force on %d of %d entries\n", a.Entries.Acknowledged, a.Entries.Total)
	}
	fmt.Fprintf(w, "id: %s\n", a.ID)
}

func stamp(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }
