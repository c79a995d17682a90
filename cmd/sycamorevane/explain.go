package main

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"sycamorevane.example/sycamorevane/explainer"
)

func explainCommand(in io.Reader, out io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("explain", flag.ExitOnError)
	return &ffcli.Command{
		Name: "explain", ShortUsage: "sycamorevane explain REQUEST [LOG ...]",
		ShortHelp: "print what the logs contain about one request; without files, logs are read from standard input", FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return errors.New("the id of a request is required")
			}
			logs := []io.Reader{in}
			if len(args) > 1 {
				logs = nil
			}
			for _, name := range args[1:] {
				f, err := os.Open(name)
				if err != nil {
					return errors.Annotate(err, "log")
				}
				defer func() { _ = f.Close() }()
				logs = append(logs, f)
			}
			r, err := explainer.Find(args[0], logs...)
			if err != nil {
				return err
			}
			return r.Print(out)
		},
	}
}
