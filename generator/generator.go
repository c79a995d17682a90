// Package generator asks about services, workspaces, data centres and hosts, and writes the configuration, the
// settings of each host and the operators' tokens from the answers.
package generator

import (
	"io"

	"github.com/juju/errors"
)

// Config holds what a questionnaire is run with.
type Config struct {
	// In and Out are the terminal; In is not read when Answers is set.
	In  io.Reader
	Out io.Writer
	// Answers is an INI file with the answers; empty to ask at the terminal.
	Answers string
	// Folder receives the output. It must be empty or absent, since another cluster key in existing settings
	// would cut their hosts off.
	Folder string
}

// Ask runs the questionnaire and writes the output. Refused answers of a file are returned as parser.Faults, all
// at once; at a terminal the question is asked again.
func Ask(cfg Config) error {
	if err := checkFolder(cfg.Folder); err != nil {
		return errors.Trace(err)
	}
	a, err := newAsker(cfg)
	if err != nil {
		return err
	}
	d := a.deployment()
	if err := a.finish(); err != nil {
		return err
	}
	files, err := d.render(a.file)
	if err != nil {
		return err
	}
	if err := write(cfg.Folder, files); err != nil {
		return errors.Trace(err)
	}
	return report(cfg, d)
}
