package main

import (
	"context"
	"flag"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"sycamorevane.example/sycamorevane/requester"
)

// clientFlags are the flags of every `do` and `show` command.
type clientFlags struct {
	control string
	token   string
	timeout time.Duration
	json    bool
}

func (f *clientFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.control, "control", "", "operator addresses of the control hosts, comma-separated (SYCAMOREVANE_CONTROL)")
	// With the environment variable or a file, the token does not appear in the process list.
	fs.StringVar(&f.token, "token", "", "operator token, or @FILE to read it from a file (SYCAMOREVANE_TOKEN)")
	fs.DurationVar(&f.timeout, "timeout", requester.DefaultTimeout, "how long to retry until a control host responds")
	fs.BoolVar(&f.json, "json", false, "print JSON")
}

// client returns a client for the parsed flags. It reads the environment only after parsing, so that the usage text
// does not show values from it, such as the token.
func (f *clientFlags) client() (*requester.Client, error) {
	control, token := f.control, f.token
	if control == "" {
		control = os.Getenv("SYCAMOREVANE_CONTROL")
	}
	if token == "" {
		token = os.Getenv("SYCAMOREVANE_TOKEN")
	}
	if file, ok := strings.CutPrefix(token, "@"); ok {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Annotate(err, "operator token")
		}
		token = strings.TrimSpace(string(data))
	}
	addrs := strings.FieldsFunc(control, func(r rune) bool { return r == ',' || r == ' ' })
	return requester.New(requester.Config{Addrs: addrs, Token: token, Timeout: f.timeout})
}

// leaf returns a command with a fixed number of arguments. Flags may precede or follow the arguments, as in
// `rollout SERVICE -to VERSION`.
func leaf(name, usage, help string, fs *flag.FlagSet, args int, exec func(ctx context.Context, args []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortUsage: "sycamorevane " + usage, ShortHelp: help, FlagSet: fs,
		Exec: func(ctx context.Context, remaining []string) error {
			var positional []string
			for len(remaining) > 0 {
				positional = append(positional, remaining[0])
				if err := fs.Parse(remaining[1:]); err != nil {
					return errors.Trace(err)
				}
				remaining = fs.Args()
			}
			if len(positional) != args {
				return errors.Errorf("got %d arguments, want %d; usage: sycamorevane %s", len(positional), args, usage)
			}
			return exec(ctx, positional)
		},
	}
}

// group returns a command that only has subcommands.
func group(name, help string, subs ...*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortUsage: "sycamorevane " + name + " COMMAND", ShortHelp: help, Subcommands: subs,
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}
