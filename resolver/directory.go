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

// MinActiveRatio is the share of the entries of a data centre that callers are sent to, unless entries request a larger share
// because their hosts are small. With few active entries each one gets enough of the traffic to know the load of the
// servers from their responses. The other entries are on standby and replace an active one that is lost.
const MinActiveRatio = 0.1

// minAddresses is the minimum number of addresses in a response, if there are as many active entries. A caller that
// finds that an entry has failed needs another address at once. Additional addresses are taken from other data centres, so
// that the number of active entries stays small.
const minAddresses = 2

// activeEntries lists the entries that callers are sent to: the first ones of each data centre by name, so that all
// control hosts select the same ones. It selects at most maxEntries per data centre, the number of addresses in a
// response. Callers would never be sent to further ones, which would still take a share of the system-wide limits from
// the others.
func activeEntries(names []string, presences map[string]entryPresence, maxEntries int) []string {
	total := make(map[string]int)
	fraction := make(map[string]float64)
	for _, name := range names {
		p := presences[name]
		total[p.Dc]++
		fraction[p.Dc] = max(fraction[p.Dc], MinActiveRatio, float64(p.Part)/100)
	}
	selected := make(map[string]int)
	var list []string
	for _, name := range names {
		dc := presences[name].Dc
		if selected[dc] < min(maxEntries, int(math.Ceil(fraction[dc]*float64(total[dc])))) {
			selected[dc]++
			list = append(list, name)
		}
	}
	return list
}

const (
	// relayCheckInterval is how often a control host checks for changes of the entries that follow it, to relay them, and
	// relayRepeatInterval how often it repeats records without a change.
	relayCheckInterval  = 200 * time.Millisecond
	relayRepeatInterval = time.Second
	// relayedTimeout is how long a record from another control host is valid. Two messages may be lost before it expires.
	relayedTimeout = 2500 * time.Millisecond
)

// DirectoryConfig holds the dependencies and settings of a Directory.
type DirectoryConfig struct {
	Transport sycamorevane.Transport
	// MaxAddresses limits the number of addresses in a response.
	MaxAddresses int
	// ControlHosts lists the other control hosts. They receive records of the entries that follow this host.
	ControlHosts func() []string
	// MaxListAge is how long the list of active entries is cached; 0 disables the cache.
	MaxListAge time.Duration
	// OnLimits receives the request limits that an entry has reported, and the age of its report; nil ignores them.
	OnLimits func(list []*encoder.ServerLimit, age time.Duration)
}

// Directory tracks on a control host which entries accept requests, in a deployment whose configuration lists no hosts.
// Each entry has sessions with a few control hosts and follows one of them, which relays its state to the others.
type Directory struct {
	cfg  DirectoryConfig
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu sync.Mutex
	// direct holds the last messages that entries sent to this host, relayed the last records from other control hosts.
	direct  map[string]entryPresence
	relayed map[string]entryPresence
	// lastRelayed is what was last sent to the other control hosts about the entries that follow this host.
	lastRelayed map[string]relayedState
	// cachedList is the cached list of active entries, created at cachedAt.
	cachedList *entryList
	cachedAt   time.Time
}

// entryList holds the names of the active entries, sorted, and their addresses by data centre.
type entryList struct {
	names []string
	addrs map[string][]string
}

// entryPresence is the last known state of an entry, as reported by itself.
type entryPresence struct {
	*encoder.Presence
	receivedAt time.Time
	// reportedBy is the control host that relayed the state; empty if the entry sent it to this host.
	reportedBy string
}

// relayedState is what was last relayed about an entry.
type relayedState struct {
	sentAt time.Time
	// accepting is whether the entry accepted requests; lost is set if it was reported as disconnected.
	accepting, lost bool
}

// accepts reports whether callers may be sent to the entry.
func (p *entryPresence) accepts() bool { return p.Accepting && !p.Leaving }

// NewDirectory returns a Directory and registers its message handlers. Start starts relaying to the other control hosts.
func NewDirectory(cfg DirectoryConfig) *Directory {
	if cfg.ControlHosts == nil {
		cfg.ControlHosts = func() []string { return nil }
	}
	d := &Directory{
		cfg: cfg, direct: make(map[string]entryPresence), relayed: make(map[string]entryPresence),
		lastRelayed: make(map[string]relayedState),
	}
	d.ctx, d.stop = context.WithCancel(context.Background())
	cfg.Transport.Handle(&encoder.Presence{}, d.onPresence)
	cfg.Transport.Handle(&encoder.Presences{}, d.onPresences)
	return d
}

// Start starts relaying the state of entries to the other control hosts.
func (d *Directory) Start() {
	d.wg.Go(func() {
		t := time.NewTicker(relayCheckInterval)
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

// Close stops relaying.
func (d *Directory) Close() {
	d.stop()
	d.wg.Wait()
}

func (d *Directory) onPresence(from string, m proto.Message) proto.Message {
	p, _ := m.(*encoder.Presence)
	d.mu.Lock()
	d.direct[from] = entryPresence{Presence: p, receivedAt: time.Now()}
	d.mu.Unlock()
	d.passOnLimits(p, 0)
	return nil
}

func (d *Directory) passOnLimits(p *encoder.Presence, age time.Duration) {
	if d.cfg.OnLimits != nil && len(p.GetLimits()) > 0 {
		d.cfg.OnLimits(p.Limits, age)
	}
}

// onPresences handles records from another control host. The report that an entry is lost is accepted only from the host
// that relayed the entry last: an entry that has lost one control host follows another one.
func (d *Directory) onPresences(from string, m proto.Message) proto.Message {
	list, _ := m.(*encoder.Presences)
	for _, r := range list.GetRecords() {
		d.passOnLimits(r.GetPresence(), time.Duration(r.GetAge())*time.Millisecond)
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range list.GetRecords() {
		known, ok := d.relayed[r.Name]
		switch {
		case r.Gone && ok && known.reportedBy == from:
			delete(d.relayed, r.Name)
		case r.Gone || r.Presence == nil:
		default:
			at := now.Add(-time.Duration(r.Age) * time.Millisecond)
			if !ok || at.After(known.receivedAt) || known.reportedBy == from {
				d.relayed[r.Name] = entryPresence{Presence: r.Presence, receivedAt: at, reportedBy: from}
			}
		}
	}
	return nil
}

// Follows reports whether the entry receives the state and the catalog from this host.
func (d *Directory) Follows(entry string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.direct[entry]
	return ok && p.Follows
}

// relay sends new records of the entries that follow this host to the other control hosts.
func (d *Directory) relay(now time.Time) {
	m := &encoder.Presences{Records: d.recordsToRelay(now)}
	if len(m.Records) == 0 {
		return
	}
	for _, name := range d.cfg.ControlHosts() {
		_ = d.cfg.Transport.Send(name, m) // A lost record is repeated after relayRepeatInterval.
	}
}

func (d *Directory) recordsToRelay(now time.Time) []*encoder.PresenceRecord {
	alive := d.alivePeers()
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*encoder.PresenceRecord
	for name, p := range d.direct {
		last, known := d.lastRelayed[name]
		disconnected := !alive.Has(name)
		switch {
		case disconnected && known && !last.lost && p.Follows:
			d.lastRelayed[name] = relayedState{sentAt: now, lost: true}
			list = append(list, &encoder.PresenceRecord{Name: name, Gone: true})
		case disconnected:
		case !p.Follows:
			delete(d.lastRelayed, name)
		case !known || last.lost || last.accepting != p.accepts() || now.Sub(last.sentAt) >= relayRepeatInterval:
			d.lastRelayed[name] = relayedState{sentAt: now, accepting: p.accepts()}
			age := uint32(max(0, now.Sub(p.receivedAt).Milliseconds()))
			list = append(list, &encoder.PresenceRecord{Name: name, Presence: p.Presence, Age: age})
		}
	}
	return list
}

// alivePeers returns the peers with a working session.
func (d *Directory) alivePeers() sycamorevane.Set[string] {
	alive := sycamorevane.NewSet[string]()
	for _, p := range d.cfg.Transport.Peers() {
		if p.Alive {
			alive.Add(p.Name)
		}
	}
	return alive
}

// Running returns the number of requests that all entries have running on the servers of a version, by their last reports.
func (d *Directory) Running(service, version string) int {
	now := time.Now()
	_, presences := d.knownEntries(now)
	running := 0
	for _, p := range presences {
		for _, l := range p.Loads {
			if l.Service == service && l.Version == version {
				running += int(l.Running)
			}
		}
	}
	return running
}

// acceptingEntries returns the sorted names of the entries that accept requests, and their states.
func (d *Directory) acceptingEntries(now time.Time) ([]string, map[string]entryPresence) {
	names, presences := d.knownEntries(now)
	names = slices.DeleteFunc(names, func(name string) bool {
		p := presences[name]
		if p.accepts() {
			return false
		}
		delete(presences, name)
		return true
	})
	return names, presences
}

// knownEntries returns the sorted names of the entries that are not lost, and their last reported states.
func (d *Directory) knownEntries(now time.Time) ([]string, map[string]entryPresence) {
	alive := d.alivePeers()
	d.mu.Lock()
	defer d.mu.Unlock()
	presences := make(map[string]entryPresence, len(d.direct)+len(d.relayed))
	for name, p := range d.relayed {
		if now.Sub(p.receivedAt) > relayedTimeout {
			delete(d.relayed, name)
			continue
		}
		presences[name] = p
	}
	for name, p := range d.direct {
		if now.Sub(p.receivedAt) > presenceTimeout {
			delete(d.direct, name)
			delete(d.lastRelayed, name)
			continue
		}
		if other, ok := presences[name]; alive.Has(name) && (!ok || p.receivedAt.After(other.receivedAt)) {
			presences[name] = p
		}
	}
	return slices.Sorted(maps.Keys(presences)), presences
}

// Rank returns the rank of an entry in the sorted names of the active entries, and their number. The rank of an entry that
// is not active equals the number.
func (d *Directory) Rank(names []string, entry string) (rank, entries int) {
	index, found := slices.BinarySearch(names, entry)
	if !found {
		return len(names), len(names)
	}
	return index, len(names)
}

// Names lists the active entries, sorted.
func (d *Directory) Names() []string { return d.currentList().names }

// currentList returns the list of active entries, from the cache if it is recent enough. Callers must not modify it.
func (d *Directory) currentList() *entryList {
	now := time.Now()
	d.mu.Lock()
	l := d.cachedList
	if l != nil && now.Sub(d.cachedAt) < d.cfg.MaxListAge {
		d.mu.Unlock()
		return l
	}
	d.mu.Unlock()
	names, presences := d.acceptingEntries(now)
	l = &entryList{names: activeEntries(names, presences, d.cfg.MaxAddresses), addrs: make(map[string][]string)}
	for _, name := range l.names {
		p := presences[name]
		l.addrs[p.Dc] = append(l.addrs[p.Dc], p.Addr)
	}
	d.mu.Lock()
	d.cachedList, d.cachedAt = l, now
	d.mu.Unlock()
	return l
}

// Addresses returns the addresses to which callers in the data centre should connect: the active entries there and, if they
// are fewer than minAddresses, those of the data centres that follow by name. Each data centre is thus the first substitute
// for only one other, so that the additional callers are spread.
func (d *Directory) Addresses(dc string) []string {
	byDC := d.currentList().addrs
	list := slices.Clone(byDC[dc])
	others := slices.DeleteFunc(slices.Sorted(maps.Keys(byDC)), func(name string) bool { return name == dc })
	first, _ := slices.BinarySearch(others, dc)
	for i := range others {
		if len(list) >= minAddresses {
			break
		}
		list = append(list, byDC[others[(first+i)%len(others)]]...)
	}
	list = list[:min(len(list), d.cfg.MaxAddresses)]
	slices.Sort(list)
	return list
}
