package resolver

import (
	"context"
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
// choose alike, and at most as many as an answer holds. More would never be named, but count in the shares of others.
func active(names []string, places map[string]place, most int) []string {
	total := make(map[string]int)
	part := make(map[string]float64)
	for _, name := range names {
		p := places[name]
		total[p.Dc]++
		part[p.Dc] = max(part[p.Dc], ActivePart, float64(p.Part)/100)
	}
	taken := make(map[string]int)
	var list []string
	for _, name := range names {
		dc := places[name].Dc
		if taken[dc] < min(most, int(math.Ceil(part[dc]*float64(total[dc])))) {
			taken[dc]++
			list = append(list, name)
		}
	}
	return list
}

const (
	// relayInterval is how often a control host looks for what to tell the others of the entries that follow it, and
	// relayAgain how often it repeats what has not changed.
	relayInterval = 200 * time.Millisecond
	relayAgain    = time.Second
	// relayedLife is how long the word of another control host about an entry counts: two of its messages may be missed.
	relayedLife = 2500 * time.Millisecond
)

// DirectoryConfig holds what a Directory is built from.
type DirectoryConfig struct {
	Transport sycamorevane.Transport
	// Max bounds the addresses of an answer.
	Max int
	// Controls lists the other control hosts, which are told about the entries that follow this one.
	Controls func() []string
	// Fresh is how old the view of the entries may be for an answer; 0 for a new one each time.
	Fresh time.Duration
}

// Directory knows on a control host which entries take requests, in a deployment whose configuration lists no hosts. Each
// entry has a session with a few control hosts and follows one of them, which tells the others.
type Directory struct {
	cfg  DirectoryConfig
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu sync.Mutex
	// direct holds what entries said here, relayed what other control hosts said of entries.
	direct  map[string]place
	relayed map[string]place
	// told is what the other control hosts know of the entries that follow this one.
	told map[string]told
	// listed is the view that answers come from, made at listedAt.
	listed   *listing
	listedAt time.Time
}

// listing is the entries that callers are sent to, by name, and their addresses by data centre.
type listing struct {
	names []string
	addrs map[string][]string
}

// place is what an entry said of itself last.
type place struct {
	*encoder.Presence
	at time.Time
	// via is the control host that told of it; empty for the entry itself.
	via string
}

// told is what was passed on of an entry.
type told struct {
	at time.Time
	// accepting is what others take the entry for; gone is set when they know that it was lost.
	accepting, gone bool
}

// accepts reports whether callers may be sent to the entry.
func (p *place) accepts() bool { return p.Accepting && !p.Leaving }

// NewDirectory registers the message handlers. Start begins to tell the other control hosts.
func NewDirectory(cfg DirectoryConfig) *Directory {
	if cfg.Controls == nil {
		cfg.Controls = func() []string { return nil }
	}
	d := &Directory{cfg: cfg, direct: make(map[string]place), relayed: make(map[string]place), told: make(map[string]told)}
	d.ctx, d.stop = context.WithCancel(context.Background())
	cfg.Transport.Handle(&encoder.Presence{}, d.onPresence)
	cfg.Transport.Handle(&encoder.Presences{}, d.onPresences)
	return d
}

// Start begins to tell the other control hosts.
func (d *Directory) Start() {
	d.wg.Go(func() {
		t := time.NewTicker(relayInterval)
		defer t.Stop()
		for {
			select {
			case now := <-t.C:
				d.relay(now)
			case <-d.ctx.Done():
				return
			}
		}
	})
}

// Close ends that.
func (d *Directory) Close() {
	d.stop()
	d.wg.Wait()
}

func (d *Directory) onPresence(from string, m proto.Message) proto.Message {
	p, _ := m.(*encoder.Presence)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.direct[from] = place{Presence: p, at: time.Now()}
	return nil
}

// onPresences takes what another control host says of entries. That an entry is lost counts only from the host that told
// of it last: an entry that has lost one control host follows another.
func (d *Directory) onPresences(from string, m proto.Message) proto.Message {
	list, _ := m.(*encoder.Presences)
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range list.GetRecords() {
		known, ok := d.relayed[r.Name]
		switch {
		case r.Gone && ok && known.via == from:
			delete(d.relayed, r.Name)
		case r.Gone || r.Presence == nil:
		default:
			at := now.Add(-time.Duration(r.Age) * time.Millisecond)
			if !ok || at.After(known.at) || known.via == from {
				d.relayed[r.Name] = place{Presence: r.Presence, at: at, via: from}
			}
		}
	}
	return nil
}

// Follows reports whether the entry takes state and catalog from this host.
func (d *Directory) Follows(entry string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.direct[entry]
	return ok && p.Follows
}

// relay tells the other control hosts what is new of the entries that follow this one.
func (d *Directory) relay(now time.Time) {
	m := &encoder.Presences{Records: d.news(now)}
	if len(m.Records) == 0 {
		return
	}
	for _, name := range d.cfg.Controls() {
		_ = d.cfg.Transport.Send(name, m) // What is lost is repeated within a second.
	}
}

func (d *Directory) news(now time.Time) []*encoder.PresenceRecord {
	alive := d.alive()
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*encoder.PresenceRecord
	for name, p := range d.direct {
		was, known := d.told[name]
		lost := !alive.Has(name)
		switch {
		case lost && known && !was.gone && p.Follows:
			d.told[name] = told{at: now, gone: true}
			list = append(list, &encoder.PresenceRecord{Name: name, Gone: true})
		case lost:
		case !p.Follows:
			delete(d.told, name)
		case !known || was.gone || was.accepting != p.accepts() || now.Sub(was.at) >= relayAgain:
			d.told[name] = told{at: now, accepting: p.accepts()}
			age := uint32(max(0, now.Sub(p.at).Milliseconds()))
			list = append(list, &encoder.PresenceRecord{Name: name, Presence: p.Presence, Age: age})
		}
	}
	return list
}

// alive lists the peers with a session that works.
func (d *Directory) alive() sycamorevane.Set[string] {
	alive := sycamorevane.NewSet[string]()
	for _, p := range d.cfg.Transport.Peers() {
		if p.Alive {
			alive.Add(p.Name)
		}
	}
	return alive
}

// Running is how many requests all entries have on the servers of a version, as they said last.
func (d *Directory) Running(service, version string) int {
	now := time.Now()
	_, places := d.known(now)
	n := 0
	for _, p := range places {
		for _, l := range p.Loads {
			if l.Service == service && l.Version == version {
				n += int(l.Running)
			}
		}
	}
	return n
}

// live returns the entries that take requests, by name.
func (d *Directory) live(now time.Time) ([]string, map[string]place) {
	names, places := d.known(now)
	names = slices.DeleteFunc(names, func(name string) bool {
		p := places[name]
		if p.accepts() {
			return false
		}
		delete(places, name)
		return true
	})
	return names, places
}

// known returns what the entries that are not lost said last, and their names in order.
func (d *Directory) known(now time.Time) ([]string, map[string]place) {
	alive := d.alive()
	d.mu.Lock()
	defer d.mu.Unlock()
	places := make(map[string]place, len(d.direct)+len(d.relayed))
	for name, p := range d.relayed {
		if now.Sub(p.at) > relayedLife {
			delete(d.relayed, name)
			continue
		}
		places[name] = p
	}
	for name, p := range d.direct {
		if now.Sub(p.at) > presenceLife {
			delete(d.direct, name)
			delete(d.told, name)
			continue
		}
		if other, ok := places[name]; alive.Has(name) && (!ok || p.at.After(other.at)) {
			places[name] = p
		}
	}
	return slices.Sorted(maps.Keys(places)), places
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
func (d *Directory) Names() []string { return d.list().names }

// list returns a view of the entries that is fresh enough. It must not be changed.
func (d *Directory) list() *listing {
	now := time.Now()
	d.mu.Lock()
	l := d.listed
	if l != nil && now.Sub(d.listedAt) < d.cfg.Fresh {
		d.mu.Unlock()
		return l
	}
	d.mu.Unlock()
	names, places := d.live(now)
	l = &listing{names: active(names, places, d.cfg.Max), addrs: make(map[string][]string)}
	for _, name := range l.names {
		p := places[name]
		l.addrs[p.Dc] = append(l.addrs[p.Dc], p.Addr)
	}
	d.mu.Lock()
	d.listed, d.listedAt = l, now
	d.mu.Unlock()
	return l
}

// Addresses returns where callers in the data centre should connect: to the entries there and, when these are too few,
// to those of the data centres that follow by name. In this way each data centre helps out one other.
func (d *Directory) Addresses(dc string) []string {
	byDC := d.list().addrs
	list := slices.Clone(byDC[dc])
	others := slices.DeleteFunc(slices.Sorted(maps.Keys(byDC)), func(name string) bool { return name == dc })
	first, _ := slices.BinarySearch(others, dc)
	for i := range others {
		if len(list) >= minChoices {
			break
		}
		list = append(list, byDC[others[(first+i)%len(others)]]...)
	}
	list = list[:min(len(list), d.cfg.Max)]
	slices.Sort(list)
	return list
}
