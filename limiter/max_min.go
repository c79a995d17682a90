package limiter

import "slices"

// shareClaim is the claim of one party to a share of the capacity.
type shareClaim struct {
	name   string
	weight float64
	demand float64
}

// weightedMaxMin divides the capacity by weighted max-min fairness: no party gets more than its demand, and what a
// party does not use is divided among the others by weight.
func weightedMaxMin(capacity float64, claims []shareClaim) map[string]float64 {
	shares := make(map[string]float64, len(claims))
	sorted := slices.Clone(claims)
	slices.SortFunc(sorted, func(a, b shareClaim) int {
		switch x, y := a.demand*b.weight, b.demand*a.weight; {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	totalWeight := 0.0
	for _, c := range sorted {
		totalWeight += c.weight
	}
	for _, c := range sorted {
		share := min(c.demand, capacity*c.weight/totalWeight)
		shares[c.name] = share
		capacity -= share
		totalWeight -= c.weight
	}
	return shares
}
