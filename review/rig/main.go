// Command rig runs the cases of the second review: small deployments of real processes on loopback addresses, with stand-ins for
// backend servers, consumers and the operator that follow the users' pages.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases maps the name of a case to its function, which reports whether the rule was broken.
var cases = map[string]func(rec *recorder, trouble bool) (broken bool, err error){
	"evacuation": runEvacuation,
	"leavers":    runLeavers,
	"innocent":   runInnocent,
	"busy":       runBusyTarget,
	"pipeline":   runBrokenPipeline,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return exitFailed
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitFailed
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
