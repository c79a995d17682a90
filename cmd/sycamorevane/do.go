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

// options must be called after parsing.
func (f *changeFlags) options() requester.Options {
	o := requester.Options{ID: f.id, Force: f.force, JSON: f.json}
	if f.version >= 0 {
		version := uint64(f.version)
		o.ExpectedVersion = &version
	}
	return o
}

// newChange returns a flag set with the common flags; forced adds -force.
func newChange(name string, forced bool) (*flag.FlagSet, *changeFlags) {
	f := &changeFlags{}
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	f.register(fs)
	fs.StringVar(&f.id, "id", "", "id of an earlier command to resend; empty makes a new one")
	fs.Int64Var(&f.version, "if", -1, "apply only to this state version; -1 for any")
	if forced {
		fs.BoolVar(&f.force, "force", false, "skip the checks against capacity and known servers and versions")
	}
	return fs, f
}

// doCommand returns the command `do`. Parse reads a configuration file for `do apply`.
func doCommand(out io.Writer, parse func(file string) (*sycamorevane.Config, error)) *ffcli.Command {
	return group(
		"do", "change the configuration, data centres and rollouts",
		applyCommand(out, parse), drainCommand(out), undrainCommand(out),
		rolloutCommand(out), rollbackCommand(out), replaceCommand(out),
	)
}

func applyCommand(out io.Writer, parse func(file string) (*sycamorevane.Config, error)) *ffcli.Command {
	fs, f := newChange("apply", true)
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

// place holds the flags that name a data centre or a server.
type place struct{ dc, server string }

func (p *place) register(fs *flag.FlagSet) {
	fs.StringVar(&p.dc, "dc", "", "data centre")
	fs.StringVar(&p.server, "server", "", "backend server by id")
}

func (p *place) check() error {
	if (p.dc == "") == (p.server == "") {
		return errors.New("exactly one of -dc and -server is needed")
	}
	return nil
}

func drainCommand(out io.Writer) *ffcli.Command {
	return placeCommand("drain", "take a data centre or a backend server out", true, func(ctx context.Context, c *requester.Client, p *place, opts requester.Options) error {
		if p.dc != "" {
			return c.DrainDC(ctx, out, p.dc, opts)
		}
		return c.DrainServer(ctx, out, p.server, opts)
	})
}

func undrainCommand(out io.Writer) *ffcli.Command {
	return placeCommand("undrain", "bring a data centre or a backend server back", false, func(ctx context.Context, c *requester.Client, p *place, opts requester.Options) error {
		if p.dc != "" {
			return c.UndrainDC(ctx, out, p.dc, opts)
		}
		return c.UndrainServer(ctx, out, p.server, opts)
	})
}

// placeCommand is a command about one data centre or one server.
func placeCommand(
	name, help string, forced bool, do func(context.Context, *requester.Client, *place, requester.Options) error,
) *ffcli.Command {
	fs, f := newChange(name, forced)
	p := &place{}
	p.register(fs)
	return leaf(name, "do "+name+" -dc DC | -server ID", help, fs, 0, func(ctx context.Context, _ []string) error {
		if err := p.check(); err != nil {
			return err
		}
		c, err := f.client()
		if err != nil {
			return err
		}
		return do(ctx, c, p, f.options())
	})
}

func rolloutCommand(out io.Writer) *ffcli.Command {
	fs, f := newChange("rollout", false)
	to := fs.String("to", "", "new version")
	by := fs.Duration("by", 0, "time allowed, for example 30m")
	return leaf("rollout", "do rollout SERVICE -to VERSION -by DURATION", "move a service to another version", fs, 1, func(ctx context.Context, args []string) error {
		if *to == "" {
			return errors.New("-to is needed")
		}
		if *by < time.Millisecond {
			return errors.New("-by must be a time above zero")
		}
		c, err := f.client()
		if err != nil {
			return err
		}
		return c.Rollout(ctx, out, args[0], *to, *by, f.options())
	})
}

func rollbackCommand(out io.Writer) *ffcli.Command {
	fs, f := newChange("rollback", true)
	return leaf("rollback", "do rollback SERVICE", "end a rollout and go back to the old version", fs, 1, func(ctx context.Context, args []string) error {
		c, err := f.client()
		if err != nil {
			return err
		}
		return c.Rollback(ctx, out, args[0], f.options())
	})
}

func replaceCommand(out io.Writer) *ffcli.Command {
	fs, f := newChange("replace", false)
	host := fs.String("host", "", "control host to remove")
	with := fs.String("with", "", "control host that takes its place")
	return leaf("replace", "do replace -host OLD -with NEW", "replace a control host", fs, 0, func(ctx context.Context, _ []string) error {
		if *host == "" || *with == "" {
			return errors.New("-host and -with are needed")
		}
		c, err := f.client()
		if err != nil {
			return err
		}
		return c.Replace(ctx, out, *host, *with, f.options())
	})
}
