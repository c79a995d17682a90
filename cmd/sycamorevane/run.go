package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"sycamorevane.example/sycamorevane/forwarder"
	"sycamorevane.example/sycamorevane/parser"
	"sycamorevane.example/sycamorevane/recorder"
	"sycamorevane.example/sycamorevane/runner"
)

func runCommand() *ffcli.Command {
	fs := flag.NewFlagSet("run", flag.ExitOnError)
	file := fs.String("config", "", "settings file of this host")
	grace := fs.Duration("grace", 10*time.Minute, "longest wait for running requests at shutdown")
	return &ffcli.Command{
		Name: "run", ShortUsage: "sycamorevane run -config FILE.ini", ShortHelp: "run one process of the system",
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if *file == "" || len(args) > 0 {
				return errors.New("run requires -config FILE.ini and takes no arguments")
			}
			return run(ctx, *file, *grace)
		},
	}
}

func run(ctx context.Context, file string, grace time.Duration) error {
	// Without a handler SIGHUP ends the process and cuts its requests.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	s, err := parser.LoadSettings(file)
	if err != nil {
		return err
	}
	if s.Entry != nil {
		debug.SetGCPercent(forwarder.GCPercent)
	}
	log := recorder.NewLogger(os.Stderr, s.Debug)
	p, err := runner.New(runner.Config{Settings: s, Log: log})
	if err != nil {
		return err
	}
	if err := p.Start(); err != nil {
		p.Kill()
		return err
	}
	for {
		select {
		case <-hangup:
			log.Info("settings are read at the start only, SIGHUP has no effect", "host", s.Name)
		case <-ctx.Done():
			stopCtx, cancel := context.WithTimeout(context.Background(), grace)
			defer cancel()
			return p.Stop(stopCtx)
		}
	}
}

func checkCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "check", ShortUsage: "sycamorevane check FILE.ini", ShortHelp: "check a settings or configuration file",
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return errors.New("check requires exactly one file")
			}
			if err := parser.CheckFile(args[0]); err != nil {
				return err
			}
			fmt.Println(args[0], "is valid")
			return nil
		},
	}
}
