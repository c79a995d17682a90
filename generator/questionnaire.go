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

// terminal is used as the file name in errors about answers typed at the terminal.
const terminal = "terminal"

// question is one question. Its section and key identify it in the answers file and in errors.
type question struct {
	section string
	key     string
	text    string
	// defaultAnswer is used if no answer is given. If it is empty, an answer is required unless optional is set.
	defaultAnswer string
	optional      bool
	// check returns an error with the accepted values if the answer is invalid; nil accepts every answer.
	check func(answer string) error
}

// questionnaire reads the answers from a file or a terminal.
type questionnaire struct {
	file string
	// answers is nil if the questions are asked at a terminal.
	answers *ini.File
	in      *bufio.Scanner
	out     io.Writer
	// faults lists the invalid answers of a file; at a terminal the question is repeated instead.
	faults parser.Faults
	// err is the error that ended the questionnaire, for example the end of the input.
	err error
	// askedKeys lists the keys of the questions that were asked, by section.
	askedKeys map[string][]string
}

func newQuestionnaire(cfg Config) (*questionnaire, error) {
	qn := &questionnaire{file: terminal, in: bufio.NewScanner(cfg.In), out: cfg.Out, askedKeys: make(map[string][]string)}
	if cfg.AnswersFile == "" {
		return qn, nil
	}
	qn.file = cfg.AnswersFile
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections: true, AllowShadows: true, AllowDuplicateShadowValues: true,
		IgnoreInlineComment: true, KeyValueDelimiters: "=",
	}, cfg.AnswersFile)
	if err != nil {
		return nil, parser.Faults{{File: cfg.AnswersFile, Reason: err.Error()}}
	}
	qn.answers = f
	return qn, nil
}

// ask returns the valid answer to a question. For an invalid answer in a file it records a fault and returns the default,
// so that faults in later answers are found as well.
func (qn *questionnaire) ask(q question) string {
	qn.askedKeys[q.section] = append(qn.askedKeys[q.section], q.key)
	if qn.err != nil {
		return q.defaultAnswer
	}
	if qn.answers == nil {
		return qn.askTerminal(q)
	}
	answer, given := qn.lookup(q)
	if !given {
		answer = q.defaultAnswer
	}
	if reason := q.rejectionReason(answer); reason != "" {
		qn.addFault(q.section, q.key, answer, reason)
		return q.defaultAnswer
	}
	return answer
}

func (qn *questionnaire) askTerminal(q question) string {
	for {
		fmt.Fprintf(qn.out, "%s%s: ", q.text, q.hint())
		if !qn.in.Scan() {
			qn.err = errors.Annotatef(inputError(qn.in), "question [%s] %s", q.section, q.key)
			return q.defaultAnswer
		}
		answer := strings.TrimSpace(qn.in.Text())
		if answer == "" {
			answer = q.defaultAnswer
		}
		reason := q.rejectionReason(answer)
		if reason == "" {
			return answer
		}
		refused := &sycamorevane.ConfigError{File: qn.file, Section: q.section, Key: q.key, Value: answer, Reason: reason}
		fmt.Fprintln(qn.out, refused)
	}
}

func inputError(s *bufio.Scanner) error {
	if s.Err() != nil {
		return s.Err()
	}
	return io.ErrUnexpectedEOF
}

func (q question) hint() string {
	switch {
	case q.defaultAnswer != "":
		return " [" + q.defaultAnswer + "]"
	case q.optional:
		return " [none]"
	}
	return ""
}

// rejectionReason returns why the answer is invalid, or "".
func (q question) rejectionReason(answer string) string {
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

// lookup returns the answer in the file. A question that is answered more than once is a fault.
func (qn *questionnaire) lookup(q question) (string, bool) {
	sections, err := qn.answers.SectionsByName(q.section)
	if err != nil {
		return "", false
	}
	var values []string
	for _, s := range sections {
		if s.HasKey(q.key) {
			values = append(values, s.Key(q.key).ValueWithShadows()...)
		}
	}
	if len(values) == 0 {
		return "", false
	}
	if len(values) > 1 {
		qn.addFault(q.section, q.key, strings.Join(values, "; "), "the question is answered more than once")
	}
	return strings.TrimSpace(values[0]), true
}

func (qn *questionnaire) addFault(section, key, value, reason string) {
	qn.faults = append(qn.faults, &sycamorevane.ConfigError{File: qn.file, Section: section, Key: key, Value: value, Reason: reason})
}

// finish returns the error of the questionnaire, if any. Answers to questions that were not asked are faults, since their
// keys are most likely misspelt.
func (qn *questionnaire) finish() error {
	if qn.err != nil {
		return qn.err
	}
	if qn.answers != nil {
		qn.rejectUnknown()
	}
	if len(qn.faults) > 0 {
		return qn.faults
	}
	return nil
}

func (qn *questionnaire) rejectUnknown() {
	for _, s := range qn.answers.Sections() {
		known, ok := qn.askedKeys[s.Name()]
		if !ok && s.Name() != ini.DefaultSection {
			qn.addFault(s.Name(), "", "", "no question belongs to this section; known are "+strings.Join(qn.askedSections(), ", "))
			continue
		}
		for _, k := range s.KeyStrings() {
			if !slices.Contains(known, k) {
				qn.addFault(s.Name(), k, s.Key(k).Value(), "no such question; known are "+strings.Join(known, ", "))
			}
		}
	}
}

func (qn *questionnaire) askedSections() []string {
	var names []string
	for name := range qn.askedKeys {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// splitList returns the items of a comma-separated answer.
func splitList(answer string) []string {
	var items []string
	for _, item := range strings.Split(answer, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
