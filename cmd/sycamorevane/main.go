// Command sycamorevane runs the processes of the load balancer and is the client of its operator API.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"sycamorevane.example/sycamorevane/parser"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &ffcli.Command{
		Name:       "sycamorevane",
		ShortUsage: "sycamorevane <command> [flags]",
		ShortHelp:  "a load balancer for servers whose load changes within milliseconds",
		Subcommands: []*ffcli.Command{
			askCommand(), runCommand(), joinCommand(), explainCommand(os.Stdin, os.Stdout), checkCommand(), doCommand(os.Stdout, parser.LoadConfig), showCommand(os.Stdout), demoCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(ctx, os.Args[1:])
	switch {
	case err == nil:
	case errors.Is(err, flag.ErrHelp):
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, "sycamorevane:", err)
		os.Exit(1)
	}
}
