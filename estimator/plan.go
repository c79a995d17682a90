package estimator

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/juju/errors"
)

// seriesPlan describes a series of measurements in which one quantity varies and the others are constant.
type seriesPlan struct {
	quantity  string
	constants string
	sizes     []float64
	sizeFor   func(float64) Size
}

func seriesPlans() []seriesPlan {
	return []seriesPlan{
		{"entries", "24 servers, 2 services, no calls", []float64{3, 6, 12, 24}, func(n float64) Size {
			return Size{Entries: int(n), Servers: 24, Services: 2}
		}},
		{"servers", "6 entries, 6 services, no calls", []float64{0, 60, 120, 240}, func(n float64) Size {
			return Size{Entries: 6, Servers: int(n), Services: 6}
		}},
		{"services", "6 entries, 60 servers, no calls", []float64{2, 6, 20}, func(n float64) Size {
			return Size{Entries: 6, Servers: 60, Services: int(n)}
		}},
		{"calls/s", "6 entries, 60 servers, 6 services", []float64{0, 300, 600, 1200}, func(n float64) Size {
			return Size{Entries: 6, Servers: 60, Services: 6, CallsPerSecond: n}
		}},
	}
}

// Run measures every series, prints the fitted lines and writes the measured points as JSON to file.
func Run(ctx context.Context, cfg Config, file string) error {
	var series []*Series
	for _, plan := range seriesPlans() {
		byRole := make(map[string]*Series)
		for _, value := range plan.sizes {
			points, err := Measure(ctx, cfg, plan.sizeFor(value))
			if err != nil {
				return errors.Annotatef(err, "%s = %g", plan.quantity, value)
			}
			for _, role := range []string{"entry", "control leader", "control follower"} {
				s, ok := byRole[role]
				if !ok {
					s = &Series{Step: plan.quantity, Fixed: plan.constants, Role: role}
					byRole[role] = s
					series = append(series, s)
				}
				p := points[role]
				p.Size = value
				s.Points = append(s.Points, p)
			}
		}
		for _, role := range []string{"entry", "control leader", "control follower"} {
			byRole[role].Print(cfg.Log)
		}
	}
	data, err := json.MarshalIndent(series, "", " ")
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintf(cfg.Log, "\nraw figures in %s\n", file)
	return errors.Trace(os.WriteFile(file, append(data, '\n'), 0o644))
}
