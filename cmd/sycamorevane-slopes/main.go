// Command sycamorevane-slopes measures the resource use of the system's processes at increasing sizes.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"time"

	"sycamorevane.example/sycamorevane/estimator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	cfg := estimator.Config{Log: os.Stdout}
	flag.StringVar(&cfg.Binary, "binary", "bin/sycamorevane", "program to measure")
	flag.DurationVar(&cfg.SettleTime, "settle", 5*time.Second, "wait before each measurement")
	flag.DurationVar(&cfg.MeasurementTime, "window", 8*time.Second, "length of each measurement")
	file := flag.String("out", "docs/slopes.json", "file for the raw measurements")
	flag.Parse()
	if err := estimator.Run(ctx, cfg, *file); err != nil {
		fmt.Fprintln(os.Stderr, "sycamorevane-slopes:", err)
		os.Exit(1)
	}
}
