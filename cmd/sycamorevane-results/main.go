// Command sycamorevane-results reads the output of go test from standard input, copies it to standard output and
// writes the measurements in it to a page.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"os"

	"sycamorevane.example/sycamorevane/reporter"
)

func main() {
	file := flag.String("out", "docs/RESULTS.md", "page to write")
	flag.Parse()
	if err := run(*file); err != nil {
		fmt.Fprintln(os.Stderr, "sycamorevane-results:", err)
		os.Exit(1)
	}
}

func run(file string) error {
	var copied bytes.Buffer
	if _, err := io.Copy(io.MultiWriter(&copied, os.Stdout), os.Stdin); err != nil {
		return err
	}
	list, err := reporter.ReadMeasurements(&copied)
	if err != nil {
		return err
	}
	if len(list) == 0 {
		return fmt.Errorf("the input contains no measurements")
	}
	earlier, err := os.ReadFile(file)
	if err != nil && !os.IsNotExist(err) {
		return err
	}
	var page bytes.Buffer
	reporter.WritePage(&page, list, string(earlier))
	return os.WriteFile(file, page.Bytes(), 0o644)
}
