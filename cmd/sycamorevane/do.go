package main

import (
	"context"
	"flag"
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/requester"
)

// changeFlags are the flags of every `do` command.
type changeFlags struct {
	clientFlags
	id      string
	version int64
	force   bool
}

// options must be called after the flags are parsed.
func (f *changeFlags) options() requester.Options {
	o := requester.Options{ID: f.id, Force: f.force, JSON: f.json}
	if f.version >= 0 {
		version := uint64(f.version)
		o.ExpectedVersion = &version
	}
	return o
}

// newChangeFlags returns a flag set with the common flags, including -force if allowForce is set.
func newChangeFlags(name string, allowForce bool) (*flag.FlagSet, *changeFlags) {
	f := &changeFlags{}
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	f.register(fs)
	fs.StringVar(&f.id, "id", "", "id of an earlier command to resend; if empty, a new id is generated")
	fs.Int64Var(&f.version, "if", -1, "apply only if the state has this version; -1 for any")
	if allowForce {
		fs.BoolVar(&f.force, "force", false, "skip the checks against capacity and known servers and versions")
	}
	return fs, f
}

// doCommand returns the command `do`. It calls parse to read the configuration file of `do apply`.
func doCommand(out io.Writer, parse func(file string) (*sycamorevane.Config, error)) *ffcli.Command {
	return group(
		"do", "change the configuration, data centres and rollouts",
		applyCommand(out, parse), drainCommand(out), undrainCommand(out),
		rolloutCommand(out), rollbackCommand(out), replaceCommand(out),
	)
}

func applyCommand(out io.Writer, parse func(file string) (*sycamorevane.Config, error)) *ffcli.Command {
	fs, f := newChangeFlags("apply", true)
	return leaf("apply", "do apply FILE", "put a configuration file in force", fs, 1, func(ctx context.Context, args []string) error {
		cfg, err := parse(args[0])
		if err != nil {
			return err
		}
		c, err := f.client()
		if err != nil {
			return err
		}
		return c.Apply(ctx, out, cfg, f.options())
	})
}

// target holds the flags that select a data centre or a server.
type target struct{ dc, server string }

func (t *target) register(fs *flag.FlagSet) {
	fs.StringVar(&t.dc, "dc", "", "data centre")
	fs.StringVar(&t.server, "server", "", "backend server by id")
}

func (t *target) check() error {
	if (t.dc == "") == (t.server == "") {
		return errors.New("exactly one of -dc and -server is required")
	}
	return nil
}

func drainCommand(out io.Writer) *ffcli.Command {
	return targetCommand("drain", "take a data centre or a backend server out of service", true, func(ctx context.Context, c *requester.Client, t *target, opts requester.Options) error {
		if t.dc != "" {
			return c.DrainDC(ctx, out, t.dc, opts)
		}
		return c.DrainServer(ctx, out, t.server, opts)
	})
}

func undrainCommand(out io.Writer) *ffcli.Command {
	return targetCommand("undrain", "put a drained data centre or backend server back into service", false, func(ctx context.Context, c *requester.Client, t *target, opts requester.Options) error {
		if t.dc != "" {
			return c.UndrainDC(ctx, out, t.dc, opts)
		}
		return c.UndrainServer(ctx, out, t.server, opts)
	})
}

// targetCommand returns a command for one data centre or one server.
func targetCommand(
	name, help string, allowForce bool, do func(context.Context, *requester.Client, *target, requester.Options) error,
) *ffcli.Command {
	fs, f := newChangeFlags(name, allowForce)
	t := &target{}
	t.register(fs)
	return leaf(name, "do "+name+" -dc DC | -server ID", help, fs, 0, func(ctx context.Context, _ []string) error {
		if err := t.check(); err != nil {
			return err
		}
		c, err := f.client()
		if err != nil {
			return err
		}
		return do(ctx, c, t, f.options())
	})
}

func rolloutCommand(out io.Writer) *ffcli.Command {
	fs, f := newChangeFlags("rollout", false)
	to := fs.String("to", "", "new version")
	by := fs.Duration("by", 0, "time until the rollout must be complete, for example 30m")
	return leaf("rollout", "do rollout SERVICE -to VERSION -by DURATION", "move a service to another version", fs, 1, func(ctx context.Context, args []string) error {
		if *to == "" {
			return errors.New("-to is required")
		}
		if *by < time.Millisecond {
			return errors.New("-by must be a duration of at least 1ms")
		}
		c, err := f.client()
		if err != nil {
			return err
		}
		return c.Rollout(ctx, out, args[0], *to, *by, f.options())
	})
}

func rollbackCommand(out io.Writer) *ffcli.Command {
	fs, f := newChangeFlags("rollback", true)
	return leaf("rollback", "do rollback SERVICE", "end a rollout and go back to the old version", fs, 1, func(ctx context.Context, args []string) error {
		c, err := f.client()
		if err != nil {
			return err
		}
		return c.Rollback(ctx, out, args[0], f.options())
	})
}

func replaceCommand(out io.Writer) *ffcli.Command {
	fs, f := newChangeFlags("replace", false)
	host := fs.String("host", "", "control host to remove")
	with := fs.String("with", "", "control host that takes its place")
	return leaf("replace", "do replace -host OLD -with NEW", "replace a control host", fs, 0, func(ctx context.Context, _ []string) error {
		if *host == "" || *with == "" {
			return errors.New("-host and -with are required")
		}
		c, err := f.client()
		if err != nil {
			return err
		}
		return c.Replace(ctx, out, *host, *with, f.options())
	})
}
