package main

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/peterbourgon/ff/v3/ffcli"

	"sycamorevane.example/sycamorevane/demonstrator"
	"sycamorevane.example/sycamorevane/recorder"
)

func demoCommand() *ffcli.Command {
	fs := flag.NewFlagSet("demo", flag.ExitOnError)
	length := fs.Duration("for", 30*time.Second, "how long the demo runs")
	asJSON := fs.Bool("json", false, "print the result as one JSON object at the end")
	logs := fs.Bool("log", false, "write the processes' logs to standard error")
	return &ffcli.Command{
		Name: "demo", ShortUsage: "sycamorevane demo [-for 30s] [-json]",
		ShortHelp: "run the whole system on loopback and check its guarantees", FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			log := logr.Discard()
			if *logs {
				log = recorder.NewLogger(os.Stderr, false)
			}
			_, err := demonstrator.Run(ctx, demonstrator.Config{Duration: *length, JSON: *asJSON, Out: os.Stdout, Log: log})
			return err
		},
	}
}
