// Command standin runs one case of the review: the system's own programs as separate processes, with stand-ins for the
// platform, the operator, consumers and targets. It exits with 1 if the rule was broken, 0 if it held and 2 if the case
// could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// cases maps a name to a function that reports whether the rule was broken.
var cases = map[string]func(b *bed, trouble bool) (bool, error){
	"crashing":     crashing,
	"evacuate":     evacuate,
	"late":         late,
	"stopping":     stopping,
	"unreadable":   unreadable,
	"otherservice": otherService,
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *record, os.Getenv("TROUBLE") != "0"))
}

func run(name, record string, trouble bool) int {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	b, err := newBed(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer b.close()
	b.note("case %s, trouble %v", name, trouble)
	broken, err := f(b, trouble)
	switch {
	case err != nil:
		b.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		b.note("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	b.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
