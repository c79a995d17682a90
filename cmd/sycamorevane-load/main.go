// Command sycamorevane-load load-tests running entries with fake backend servers and calls.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/peterbourgon/ff/v3"

	"sycamorevane.example/sycamorevane/loadtester"
	"sycamorevane.example/sycamorevane/parser"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "sycamorevane-load:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("sycamorevane-load", flag.ExitOnError)
	file := fs.String("config", "", "configuration file with the hosts")
	cfg := loadtester.Config{Out: os.Stdout}
	fs.Float64Var(&cfg.CallsPerSecond, "rate", 200, "calls per second for each service")
	fs.DurationVar(&cfg.Duration, "for", 20*time.Second, "how long calls are sent")
	fs.DurationVar(&cfg.ServiceTime, "latency", 10*time.Millisecond, "mean processing time of a call on a server")
	fs.StringVar(&cfg.Version, "version", "1", "version of the servers")
	fs.Func("size", "number of servers and slots per server as SERVICE=SERVERSxSLOTS; may be repeated", func(text string) error {
		size, err := loadtester.ParseServiceSize(text)
		cfg.Services = append(cfg.Services, size)
		return err
	})
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("SYCAMOREVANE")); err != nil {
		return err
	}
	var err error
	if cfg.Configuration, err = parser.LoadConfig(*file); err != nil {
		return err
	}
	return loadtester.Run(ctx, cfg)
}
