package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"sycamorevane.example/sycamorevane/parser"
	"sycamorevane.example/sycamorevane/platform"
	"sycamorevane.example/sycamorevane/recorder"
	"sycamorevane.example/sycamorevane/runner"
)

func joinCommand() *ffcli.Command {
	fs := flag.NewFlagSet("join", flag.ExitOnError)
	file := fs.String("boot", "", "settings file of this host (SYCAMOREVANE_BOOT)")
	return &ffcli.Command{
		Name: "join", ShortUsage: "sycamorevane join -boot FILE.ini",
		ShortHelp: "run one process of a deployment whose hosts discover each other", FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix("SYCAMOREVANE")},
		Exec: func(ctx context.Context, args []string) error {
			if *file == "" || len(args) > 0 {
				return errors.New("join requires -boot FILE.ini or SYCAMOREVANE_BOOT, and takes no arguments")
			}
			return join(ctx, *file)
		},
	}
}

func join(ctx context.Context, file string) error {
	// Before anything that takes time: without a handler SIGHUP ends the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	s, err := parser.LoadDiscovery(file)
	if err != nil {
		return err
	}
	w := recorder.NewWriter(os.Stdout)
	defer func() { _ = w.Close() }()
	log := recorder.NewLogger(w, s.Debug)
	process, err := runner.NewDiscoveryProcess(runner.DiscoveryConfig{
		Settings: s, Log: log, Adapter: platform.Adapter{},
		Reload: func() (*parser.DiscoverySettings, error) { return parser.LoadDiscovery(file) },
	})
	if err != nil {
		return err
	}
	if err := process.Start(); err != nil {
		return err
	}
	for {
		select {
		case <-reload:
			// The settings that may change are reread whenever they are used, since they may also change without a signal.
			log.Info("settings reloaded", "host", s.Name)
		case <-ctx.Done():
			stopCtx, cancel := context.WithTimeout(context.Background(), s.Bounds.GracePeriod)
			defer cancel()
			process.Stop(stopCtx)
			return nil
		}
	}
}
