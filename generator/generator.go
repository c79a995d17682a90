// Package generator runs a questionnaire about services, workspaces, data centres and hosts. From the answers it writes
// the configuration, the settings of each host and the tokens of operators and workspaces.
package generator

import (
	"io"

	"github.com/juju/errors"
)

// Config holds the input and output of a questionnaire.
type Config struct {
	// In and Out are the terminal. In is not read if AnswersFile is set.
	In  io.Reader
	Out io.Writer
	// AnswersFile is the name of an INI file with the answers. If it is empty, the questions are asked at the terminal.
	AnswersFile string
	// OutputDir is the output folder. It must be empty or absent: overwriting existing settings would change the cluster
	// key, and hosts with different keys cannot connect to each other.
	OutputDir string
}

// Ask runs the questionnaire and writes the output. All invalid answers of a file are returned together as
// parser.Faults; at a terminal the question is repeated after an invalid answer.
func Ask(cfg Config) error {
	if err := checkOutputFolder(cfg.OutputDir); err != nil {
		return errors.Trace(err)
	}
	qn, err := newQuestionnaire(cfg)
	if err != nil {
		return err
	}
	d := qn.askAll()
	if err := qn.finish(); err != nil {
		return err
	}
	files, err := d.render(qn.file)
	if err != nil {
		return err
	}
	if err := writeFolder(cfg.OutputDir, files); err != nil {
		return errors.Trace(err)
	}
	return printSummary(cfg, d)
}
