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

// Options are the options that all commands have.
type Options struct {
	// ID is the id of an earlier command that is sent again; empty for a new command.
	ID string
	// ExpectedVersion is the state version that the command requires; nil allows any.
	ExpectedVersion *uint64
	// Force skips the checks against capacity and known servers.
	Force bool
	// JSON prints the response as JSON.
	JSON bool
}

// Apply replaces the configuration.
func (c *Client) Apply(ctx context.Context, w io.Writer, cfg *sycamorevane.Config, o Options) error {
	data, err := applier.EncodeConfig(cfg)
	if err != nil {
		return errors.Trace(err)
	}
	return c.sendAndPrint(ctx, w, applier.OpApply, map[string]any{"config": data}, o)
}

// DrainDC drains a data centre.
func (c *Client) DrainDC(ctx context.Context, w io.Writer, dc string, o Options) error {
	return c.sendAndPrint(ctx, w, applier.OpDrain, map[string]any{"dc": dc}, o)
}

// DrainServer drains a backend server.
func (c *Client) DrainServer(ctx context.Context, w io.Writer, id string, o Options) error {
	return c.sendAndPrint(ctx, w, applier.OpDrain, map[string]any{"server": id}, o)
}

// UndrainDC ends the drain of a data centre.
func (c *Client) UndrainDC(ctx context.Context, w io.Writer, dc string, o Options) error {
	return c.sendAndPrint(ctx, w, applier.OpUndrain, map[string]any{"dc": dc}, o)
}

// UndrainServer ends the drain of a backend server.
func (c *Client) UndrainServer(ctx context.Context, w io.Writer, id string, o Options) error {
	return c.sendAndPrint(ctx, w, applier.OpUndrain, map[string]any{"server": id}, o)
}

// Rollout starts a rollout of a service to a version, which must be complete within the duration.
func (c *Client) Rollout(ctx context.Context, w io.Writer, service, to string, duration time.Duration, o Options) error {
	return c.sendAndPrint(ctx, w, applier.OpRollout, map[string]any{"service": service, "to": to, "by": duration.Milliseconds()}, o)
}

// Rollback ends a rollout and returns to the old version.
func (c *Client) Rollback(ctx context.Context, w io.Writer, service string, o Options) error {
	return c.sendAndPrint(ctx, w, applier.OpRollback, map[string]any{"service": service}, o)
}

// Replace replaces a control host by another host.
func (c *Client) Replace(ctx context.Context, w io.Writer, host, replacement string, o Options) error {
	return c.sendAndPrint(ctx, w, applier.OpReplace, map[string]any{"host": host, "with": replacement}, o)
}

func (c *Client) sendAndPrint(ctx context.Context, w io.Writer, op string, args map[string]any, o Options) error {
	if o.Force {
		args["force"] = true
	}
	resp, err := c.Send(ctx, Command{ID: o.ID, Op: op, Args: args, ExpectedVersion: o.ExpectedVersion})
	if resp.ID == "" {
		return err
	}
	if o.JSON {
		data, marshalErr := json.Marshal(resp)
		if marshalErr != nil {
			return errors.Trace(marshalErr)
		}
		fmt.Fprintf(w, "%s\n", data)
		return err
	}
	printResponse(w, resp)
	return err
}

func printResponse(w io.Writer, resp commander.CommandResponse) {
	fmt.Fprintf(w, "%s: %s %s\n", resp.Result, resp.Op, resp.Description)
	if resp.Reason != "" {
		fmt.Fprintf(w, "reason: %s\n", resp.Reason)
	}
	fmt.Fprintf(w, "version: %d (was %d), set by %s at %s\n", resp.Version, resp.PreviousVersion, resp.Actor, formatTime(resp.ChangedAt))
	if resp.Entries != nil {
		fmt.Fprintf(w, "in force on %d of %d entries\n", resp.Entries.Acknowledged, resp.Entries.Total)
	}
	fmt.Fprintf(w, "id: %s\n", resp.ID)
}

func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }
