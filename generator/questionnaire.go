package generator

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/juju/errors"
	"gopkg.in/ini.v1"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/parser"
)

// terminal is the file name in errors about answers that were typed.
const terminal = "terminal"

// question is one question. Section and key name it in the answers file and in errors.
type question struct {
	section string
	key     string
	text    string
	// standard is the answer when none is given; empty when an answer is needed, unless optional is set.
	standard string
	optional bool
	// check returns why an answer is refused, with the accepted range.
	check func(answer string) error
}

// asker gets answers from a file or a terminal.
type asker struct {
	file string
	// answers is nil when a person answers at a terminal.
	answers *ini.File
	in      *bufio.Scanner
	out     io.Writer
	// faults are the refused answers of a file; at a terminal the question is asked again instead.
	faults parser.Faults
	// err ends the questionnaire, for example at the end of the input.
	err error
	// known lists the keys that were asked for, by section.
	known map[string][]string
}

func newAsker(cfg Config) (*asker, error) {
	a := &asker{file: terminal, in: bufio.NewScanner(cfg.In), out: cfg.Out, known: make(map[string][]string)}
	if cfg.Answers == "" {
		return a, nil
	}
	a.file = cfg.Answers
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections: true, AllowShadows: true, AllowDuplicateShadowValues: true,
		IgnoreInlineComment: true, KeyValueDelimiters: "=",
	}, cfg.Answers)
	if err != nil {
		return nil, parser.Faults{{File: cfg.Answers, Reason: err.Error()}}
	}
	a.answers = f
	return a, nil
}

// ask returns the accepted answer. After a refused answer from a file it returns the standard answer, so that
// further faults are found as well.
func (a *asker) ask(q question) string {
	a.known[q.section] = append(a.known[q.section], q.key)
	if a.err != nil {
		return q.standard
	}
	if a.answers == nil {
		return a.askTerminal(q)
	}
	answer, given := a.lookup(q)
	if !given {
		answer = q.standard
	}
	if reason := q.refuse(answer); reason != "" {
		a.fault(q.section, q.key, answer, reason)
		return q.standard
	}
	return answer
}

func (a *asker) askTerminal(q question) string {
	for {
		fmt.Fprintf(a.out, "%s%s: ", q.text, q.hint())
		if !a.in.Scan() {
			a.err = errors.Annotatef(ended(a.in), "question [%s] %s", q.section, q.key)
			return q.standard
		}
		answer := strings.TrimSpace(a.in.Text())
		if answer == "" {
			answer = q.standard
		}
		reason := q.refuse(answer)
		if reason == "" {
			return answer
		}
		refused := &sycamorevane.ConfigError{File: a.file, Section: q.section, Key: q.key, Value: answer, Reason: reason}
		fmt.Fprintln(a.out, refused)
	}
}

func ended(s *bufio.Scanner) error {
	if s.Err() != nil {
		return s.Err()
	}
	return io.ErrUnexpectedEOF
}

func (q question) hint() string {
	switch {
	case q.standard != "":
		return " [" + q.standard + "]"
	case q.optional:
		return " [none]"
	}
	return ""
}

// refuse returns why the answer is refused, or "".
func (q question) refuse(answer string) string {
	if answer == "" {
		if q.optional {
			return ""
		}
		return "an answer is needed: " + q.text
	}
	if q.check == nil {
		return ""
	}
	if err := q.check(answer); err != nil {
		return err.Error()
	}
	return ""
}

// lookup finds the answer in the file. A key that is given twice is refused.
func (a *asker) lookup(q question) (string, bool) {
	sections, err := a.answers.SectionsByName(q.section)
	if err != nil {
		return "", false
	}
	var found []string
	for _, s := range sections {
		if s.HasKey(q.key) {
			found = append(found, s.Key(q.key).ValueWithShadows()...)
		}
	}
	if len(found) == 0 {
		return "", false
	}
	if len(found) > 1 {
		a.fault(q.section, q.key, strings.Join(found, "; "), "the question is answered more than once")
	}
	return strings.TrimSpace(found[0]), true
}

func (a *asker) fault(section, key, value, reason string) {
	a.faults = append(a.faults, &sycamorevane.ConfigError{File: a.file, Section: section, Key: key, Value: value, Reason: reason})
}

// finish refuses answers to questions that were not asked, since they are most likely misspelt.
func (a *asker) finish() error {
	if a.err != nil {
		return a.err
	}
	if a.answers != nil {
		a.findUnknown()
	}
	if len(a.faults) > 0 {
		return a.faults
	}
	return nil
}

func (a *asker) findUnknown() {
	for _, s := range a.answers.Sections() {
		known, ok := a.known[s.Name()]
		if !ok && s.Name() != ini.DefaultSection {
			a.fault(s.Name(), "", "", "no question belongs to this section; known are "+strings.Join(a.sections(), ", "))
			continue
		}
		for _, k := range s.KeyStrings() {
			if !slices.Contains(known, k) {
				a.fault(s.Name(), k, s.Key(k).Value(), "no such question; known are "+strings.Join(known, ", "))
			}
		}
	}
}

func (a *asker) sections() []string {
	var names []string
	for name := range a.known {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// split returns the items of a comma separated answer.
func split(answer string) []string {
	var items []string
	for _, item := range strings.Split(answer, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
