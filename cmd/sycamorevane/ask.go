package main

import (
	"context"
	"flag"
	"os"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"sycamorevane.example/sycamorevane/generator"
)

func askCommand() *ffcli.Command {
	fs := flag.NewFlagSet("ask", flag.ExitOnError)
	answers := fs.String("answers", "", "file with the answers; if empty, the questions are asked on the terminal")
	folder := fs.String("out", "sycamorevane-config", "empty or new folder for the generated files")
	return &ffcli.Command{
		Name: "ask", ShortUsage: "sycamorevane ask [-answers FILE] [-out FOLDER]",
		ShortHelp: "answer the questionnaire and generate the configuration", FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return errors.New("ask takes no arguments")
			}
			return generator.Ask(generator.Config{In: os.Stdin, Out: os.Stdout, AnswersFile: *answers, OutputDir: *folder})
		},
	}
}
