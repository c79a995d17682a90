package resolver

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

// ActivePart of the entries of a data centre are named to callers, unless they ask for more because their hosts are
// small. Each then sees enough of the traffic to know the load of the servers from their answers; the others stand ready
// and take over when one is lost.
const ActivePart = 0.1

// minChoices is how many addresses an answer has at least, as long as there are so many: a caller that finds one of
// them dead needs another one at once. The further ones are in another data centre, so that few entries are named.
const minChoices = 2

// active lists the entries that callers are sent to: the first of each data centre by name, so that all control hosts
// choose alike.
func active(names []string, places map[string]place) []string {
	total := make(map[string]int)
	part := make(map[string]float64)
	for _, name := range names {
		p := places[name]
		total[p.dc]++
		part[p.dc] = max(part[p.dc], ActivePart, p.part)
	}
	taken := make(map[string]int)
	var list []string
	for _, name := range names {
		dc := places[name].dc
		if taken[dc] < int(math.Ceil(part[dc]*float64(total[dc]))) {
			taken[dc]++
			list = append(list, name)
		}
	}
	return list
}

// DirectoryConfig holds what a Directory is built from.
type DirectoryConfig struct {
	Transport sycamorevane.Transport
	// Max bounds the addresses of an answer.
	Max int
}

// Directory knows on a control host which entries take requests, in a deployment whose configuration lists no hosts.
type Directory struct {
	cfg DirectoryConfig

	mu      sync.Mutex
	entries map[string]place
}

// place is what an entry said of itself last.
type place struct {
	addr, dc  string
	accepting bool
	at        time.Time
	loads     []*encoder.VersionLoad
	// part of the entries like this one should be named; 0 for ActivePart.
	part float64
}

// NewDirectory registers the message handler.
func NewDirectory(cfg DirectoryConfig) *Directory {
	d := &Directory{cfg: cfg, entries: make(map[string]place)}
	cfg.Transport.Handle(&encoder.Presence{}, d.onPresence)
	return d
}

func (d *Directory) onPresence(from string, m proto.Message) proto.Message {
	p, _ := m.(*encoder.Presence)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries[from] = place{addr: p.Addr, dc: p.Dc, accepting: p.Accepting && !p.Leaving, at: time.Now(), loads: p.Loads, part: float64(p.Part) / 100}
	return nil
}

// Running is how many requests all entries have on the servers of a version, as they said last.
func (d *Directory) Running(service, version string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, p := range d.entries {
		for _, l := range p.loads {
			if l.Service == service && l.Version == version {
				n += int(l.Running)
			}
		}
	}
	return n
}

// live returns the entries that take requests, by name.
func (d *Directory) live(now time.Time) ([]string, map[string]place) {
	alive := sycamorevane.NewSet[string]()
	for _, p := range d.cfg.Transport.Peers() {
		if p.Alive {
			alive.Add(p.Name)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	places := make(map[string]place)
	for name, p := range d.entries {
		if now.Sub(p.at) > presenceLife {
			delete(d.entries, name)
			continue
		}
		if p.accepting && alive.Has(name) {
			names = append(names, name)
			places[name] = p
		}
	}
	slices.Sort(names)
	return names, places
}

// Share returns the rank of an entry among those that take requests, and their number. The rank of another host is
// their number.
func (d *Directory) Share(names []string, entry string) (rank, entries int) {
	i, found := slices.BinarySearch(names, entry)
	if !found {
		return len(names), len(names)
	}
	return i, len(names)
}

// Names lists the entries that callers are sent to, sorted.
func (d *Directory) Names() []string {
	names, places := d.live(time.Now())
	return active(names, places)
}

// Addresses returns where callers in the data centre should connect: to the entries there and, when these are too few,
// to those of the data centres that follow by name. In this way each data centre helps out one other.
func (d *Directory) Addresses(dc string) []string {
	names, places := d.live(time.Now())
	byDC := make(map[string][]string)
	for _, name := range active(names, places) {
		p := places[name]
		byDC[p.dc] = append(byDC[p.dc], p.addr)
	}
	list := byDC[dc]
	others := slices.DeleteFunc(slices.Sorted(maps.Keys(byDC)), func(name string) bool { return name == dc })
	first, _ := slices.BinarySearch(others, dc)
	for i := range others {
		if len(list) >= minChoices {
			break
		}
		list = append(list, byDC[others[(first+i)%len(others)]]...)
	}
	slices.Sort(list)
	return list[:min(len(list), d.cfg.Max)]
}
