package replicator

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/seeder"
)

// steps is the length of one schedule before it is healed.
const steps = 12000

// chances are the probabilities of one schedule, each per step except loss and duplicate, which are per message.
type chances struct {
	loss, duplicate, crash, diskError, partition, heal, replace, compact, propose, read, elect, wipe float64
}

// host is one replica of the simulation. core is nil while it is down.
type host struct {
	name    string
	store   *memStore
	core    *core
	machine *ledger
	handed  uint64
	commit  uint64
	waiting map[uint64]proposal
	reads   map[uint64]uint64
}

type proposal struct {
	term uint64
	id   string
}

type packet struct {
	from string
	env  envelope
}

type position struct{ index, term uint64 }

type content struct{ sum, before uint64 }

// sim runs cores under a seeded schedule and checks the invariants after each step.
type sim struct {
	rand    *rand.Rand
	odds    chances
	off     rules
	batch   int
	hosts   map[string]*host
	names   []string
	net     []packet
	blocked map[[2]string]bool

	leaders   map[uint64]string
	written   map[position]content
	committed map[uint64]position
	acked     map[string]uint64
	open      []string
	floor     uint64
	nextID    uint64
	spares    int
	// reshapes lets hosts join, leave and join again instead of being replaced.
	reshapes  bool
	joined    int
	removed   int
	elections int
	readsDone int
	installs  int
	wipes     int
	// members is the membership at the highest commit index, top.
	members   []Member
	top       uint64
	wiped     *host
	first     sycamorevane.DurableState
	violation string
}

func newSim(n int, seed uint64, odds chances, off rules) *sim {
	s := &sim{
		rand: rand.New(rand.NewPCG(seed, 1)), odds: odds, off: off, batch: 150, hosts: make(map[string]*host),
		blocked: make(map[[2]string]bool), leaders: make(map[uint64]string),
		written: make(map[position]content), committed: make(map[uint64]position), acked: make(map[string]uint64),
		spares: 4,
	}
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("h%d", i)
	}
	s.first = sycamorevane.DurableState{
		HardState: sycamorevane.HardState{Term: 1}, Entries: []sycamorevane.LogEntry{bootstrapEntry(names)},
	}
	for _, name := range names {
		s.join(name, s.first)
	}
	return s
}

func (s *sim) join(name string, d sycamorevane.DurableState) {
	s.names = append(s.names, name)
	s.hosts[name] = &host{name: name, store: &memStore{d: d}}
	s.start(s.hosts[name])
}

func (s *sim) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

func (s *sim) chance(p float64) bool { return s.rand.Float64() < p }

func (s *sim) start(h *host) {
	d, _ := h.store.Load()
	c, err := newCore(h.name, d, rand.New(rand.NewPCG(s.rand.Uint64(), 2)))
	if err != nil {
		s.fail("%s: %v", h.name, err)
		return
	}
	c.off = s.off
	c.size = sizes{batch: s.batch, chunk: 300, keep: 60}
	h.core, h.machine = c, newLedger()
	h.handed, h.commit = d.Snapshot.Index, d.Snapshot.Index
	h.waiting, h.reads = make(map[uint64]proposal), make(map[uint64]uint64)
	if d.Snapshot.Index > 0 {
		if err := h.machine.Restore(d.Snapshot.Data); err != nil {
			s.fail("%s: %v", h.name, err)
		}
	}
	h.store.fault = func() (float64, error) {
		switch {
		case s.chance(s.odds.diskError):
			return s.rand.Float64(), errDisk
		case s.chance(s.odds.crash):
			return s.rand.Float64(), errCrash
		}
		return 1, nil
	}
}

// process carries out the effects of one input, as the driver does, and may crash between them.
func (s *sim) process(h *host) {
	for h.core != nil {
		e := h.core.take()
		for _, env := range e.messages {
			s.net = append(s.net, packet{h.name, env})
		}
		s.finishReads(h, e.reads)
		if !e.write.empty() {
			err := save(h.store, e.write)
			if err == errCrash {
				h.core = nil
				return
			}
			if err != nil && err != errDisk {
				s.fail("%s: store refused a valid write: %v", h.name, err)
			}
			h.core.stored(err)
			continue
		}
		if e.restore != nil {
			s.installs++
			if err := h.machine.Restore(e.restore.Data); err != nil {
				s.fail("%s: snapshot: %v", h.name, err)
			}
			if e.restore.Index < h.handed {
				s.fail("%s: restored index %d after %d: version decreased", h.name, e.restore.Index, h.handed)
			}
			h.handed = e.restore.Index
		}
		for _, entry := range e.committed {
			s.apply(h, entry)
		}
		if len(e.committed) == 0 {
			break
		}
	}
	s.check(h)
}

func (s *sim) apply(h *host, e sycamorevane.LogEntry) {
	if e.Index != h.handed+1 {
		s.fail("%s: index %d applied after %d", h.name, e.Index, h.handed)
	}
	h.handed = e.Index
	if e.Kind == kindCommand {
		h.machine.Apply(e)
	}
	p, ok := h.waiting[e.Index]
	delete(h.waiting, e.Index)
	if ok && p.term == e.Term {
		if _, again := s.acked[p.id]; !again {
			s.acked[p.id] = e.Index
		}
		s.floor = max(s.floor, e.Index)
	}
}

func (s *sim) finishReads(h *host, results []readResult) {
	for _, r := range results {
		floor := h.reads[r.id]
		delete(h.reads, r.id)
		if !r.ok {
			continue
		}
		if r.index < floor {
			s.fail("%s: read at index %d after index %d was acknowledged", h.name, r.index, floor)
		}
		s.floor = max(s.floor, r.index)
		s.readsDone++
	}
}

// check compares one host with what is known of all others.
func (s *sim) check(h *host) {
	c := h.core
	if c == nil {
		return
	}
	if c.role == leader {
		if other, ok := s.leaders[c.hard.Term]; ok && other != h.name {
			s.fail("two leaders in term %d: %s and %s", c.hard.Term, other, h.name)
		}
		if _, ok := s.leaders[c.hard.Term]; !ok {
			s.elections++
		}
		s.leaders[c.hard.Term] = h.name
	}
	if c.commit < h.commit {
		s.fail("%s: commit index decreased from %d to %d", h.name, h.commit, c.commit)
	}
	if c.commit > s.top && c.log.configs[len(c.log.configs)-1].index <= c.commit {
		s.top, s.members = c.commit, c.log.members()
	}
	before := c.log.baseTerm
	for _, e := range c.log.entries {
		s.checkEntry(h, e, before)
		before = e.Term
	}
	h.commit = c.commit
}

func (s *sim) checkEntry(h *host, e sycamorevane.LogEntry, before uint64) {
	at := position{e.Index, e.Term}
	is := content{xxhash.Sum64(append([]byte{e.Kind}, e.Data...)), before}
	if known, ok := s.written[at]; ok && known != is {
		s.fail("%s: log matching: entry %d of term %d differs between hosts", h.name, e.Index, e.Term)
	}
	s.written[at] = is
	if e.Index <= h.commit || e.Index > h.core.commit {
		return
	}
	if known, ok := s.committed[e.Index]; ok && known != at {
		s.fail("%s: committed entry %d has term %d, was committed with term %d", h.name, e.Index, e.Term, known.term)
	}
	s.committed[e.Index] = at
}

// up returns a random running host, or nil.
func (s *sim) up() *host {
	h := s.hosts[s.names[s.rand.IntN(len(s.names))]]
	if h.core == nil {
		return nil
	}
	return h
}

// leading returns the running leader of the highest term, or another host that takes itself for a leader.
func (s *sim) leading() *host {
	var list []*host
	for _, n := range s.names {
		if h := s.hosts[n]; h.core != nil && h.core.role == leader {
			list = append(list, h)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[s.rand.IntN(len(list))]
}

func (s *sim) step() {
	s.faults()
	if h := s.leading(); h != nil {
		s.load(h)
	}
	if len(s.net) > 0 && s.chance(0.65) {
		s.deliver(s.rand.IntN(len(s.net)))
		return
	}
	if h := s.up(); h != nil {
		h.core.tick()
		s.process(h)
	}
}

func (s *sim) deliver(i int) {
	p := s.net[i]
	if !s.chance(s.odds.duplicate) {
		s.net[i] = s.net[len(s.net)-1]
		s.net = s.net[:len(s.net)-1]
	}
	if len(s.net) > 300 {
		s.net = s.net[100:]
	}
	h := s.hosts[p.env.to]
	if h == nil || h.core == nil || s.blocked[[2]string{p.from, p.env.to}] || s.chance(s.odds.loss) {
		return
	}
	h.core.step(p.from, p.env.m)
	s.process(h)
}

// load sends commands and reads to a host that takes itself for the leader.
func (s *sim) load(h *host) {
	if s.chance(s.odds.propose) {
		s.nextID++
		id := fmt.Sprintf("command-%d", s.nextID)
		if len(s.open) > 0 && s.chance(0.3) {
			id = s.open[s.rand.IntN(len(s.open))] // Sent again, as after a lost answer.
		}
		if index, term, err := h.core.propose([]byte(id)); err == nil {
			h.waiting[index] = proposal{term, id}
			s.open = append(s.open, id)
			if len(s.open) > 20 {
				s.open = s.open[1:]
			}
		}
		s.process(h)
	}
	if h.core != nil && s.chance(s.odds.read) {
		s.nextID++
		h.reads[s.nextID] = s.floor
		h.core.read(s.nextID)
		s.process(h)
	}
}

func (s *sim) faults() {
	h := s.hosts[s.names[s.rand.IntN(len(s.names))]]
	switch {
	case h.core != nil && s.chance(s.odds.crash):
		h.core = nil
	case h.core == nil && s.chance(0.02), h.core != nil && h.core.failed && s.chance(0.02):
		s.start(h)
	case h.core != nil && s.chance(s.odds.compact):
		if h.core.applied > h.core.log.snapshot.Index && !h.core.failed {
			data, _ := h.machine.Snapshot()
			h.core.compact(data)
			s.process(h)
		}
	case h.core != nil && s.chance(s.odds.elect):
		if h.core.role != leader && h.core.voter() && !h.core.failed {
			h.core.campaign(candidate, true)
			s.process(h)
		}
	case s.chance(s.odds.wipe):
		s.wipe(h)
	case s.chance(s.odds.partition):
		s.partition()
	case s.chance(s.odds.heal):
		clear(s.blocked)
	case s.reshapes && s.chance(s.odds.replace):
		s.reshape()
	case s.spares > 0 && s.chance(s.odds.replace):
		s.replace()
	}
}

// wipe restarts a host without its disk when all other members have a log: a majority without one cannot be told
// from a new cluster. Messages to and from it are lost with its connections.
func (s *sim) wipe(h *host) {
	if len(s.members) == 0 || s.wiped != nil && s.wiped.recovering() {
		return
	}
	for _, m := range s.members {
		if s.hosts[m.Name].recovering() {
			return
		}
	}
	s.wiped = h
	h.core = nil
	h.store.d = sycamorevane.DurableState{}
	if s.initial(h.name) {
		h.store.d = s.first
	}
	s.net = slices.DeleteFunc(s.net, func(p packet) bool { return p.from == h.name || p.env.to == h.name })
	s.wipes++
}

func (h *host) recovering() bool {
	d := h.store.d
	return d.HardState.VotedFor == recoveringVote || len(d.Entries) < 2 && d.Snapshot.Index == 0
}

func (s *sim) initial(name string) bool { return name[0] == 'h' }

// partition cuts a random part of the hosts off from the rest, sometimes in one direction only.
func (s *sim) partition() {
	clear(s.blocked)
	side := make(map[string]bool)
	for _, n := range s.names {
		side[n] = s.chance(0.4)
	}
	oneWay := s.chance(0.2)
	for _, a := range s.names {
		for _, b := range s.names {
			if side[a] && !side[b] {
				s.blocked[[2]string{a, b}] = true
				s.blocked[[2]string{b, a}] = !oneWay
			}
		}
	}
}

func (s *sim) replace() {
	h := s.leading()
	if h == nil {
		return
	}
	members := h.core.log.members()
	old := members[s.rand.IntN(len(members))]
	name := fmt.Sprintf("n%d", s.spares)
	if _, err := h.core.replace(old.Name, name); err != nil {
		return
	}
	s.spares--
	s.join(name, sycamorevane.DurableState{})
	s.process(h)
}

// reshape lets a new host join, takes one out, or lets one that was taken out join again with what it has.
func (s *sim) reshape() {
	h := s.leading()
	if h == nil {
		return
	}
	members := h.core.log.members()
	switch other := s.names[s.rand.IntN(len(s.names))]; s.rand.IntN(3) {
	case 0:
		if s.spares == 0 {
			return
		}
		name := fmt.Sprintf("n%d", s.spares)
		if _, err := h.core.replace("", name); err == nil {
			s.spares--
			s.joined++
			s.join(name, sycamorevane.DurableState{})
		}
	case 1:
		if _, in := h.core.member(other); in && len(members) > 3 {
			if _, err := h.core.replace(other, ""); err == nil {
				s.removed++
			}
		}
	case 2:
		if _, in := h.core.member(other); !in {
			if _, err := h.core.replace("", other); err == nil {
				s.joined++
			}
		}
	}
	s.process(h)
}

// settle ends all faults and expects that the group recovers, applies a last command everywhere and has lost no
// acknowledged one.
func (s *sim) settle() {
	s.odds = chances{}
	clear(s.blocked)
	for _, n := range s.names {
		if h := s.hosts[n]; h.core == nil || h.core.failed {
			s.start(h)
		}
	}
	s.rounds(200)
	s.proposeLast()
	s.rounds(200)
	s.checkEnd()
}

// rounds lets each host tick n times in step and delivers all messages between the ticks.
func (s *sim) rounds(n int) {
	for ; n > 0 && s.violation == ""; n-- {
		for _, name := range s.names {
			if h := s.hosts[name]; h.core != nil {
				h.core.tick()
				s.process(h)
			}
		}
		for i := 0; i < 2000 && len(s.net) > 0; i++ {
			s.deliver(0)
		}
	}
}

func (s *sim) proposeLast() {
	for _, n := range s.names {
		h := s.hosts[n]
		if h.core.role != leader {
			continue
		}
		if index, term, err := h.core.propose([]byte("last")); err == nil {
			h.waiting[index] = proposal{term, "last"}
		}
		s.process(h)
	}
}

func (s *sim) checkEnd() {
	if _, ok := s.acked["last"]; !ok {
		s.fail("group commits no command after all faults ended")
		return
	}
	h := s.leading()
	want := h.machine.list()
	for _, m := range h.core.log.members() {
		o := s.hosts[m.Name]
		if !slices.Equal(o.machine.list(), want) {
			s.fail("%s and %s applied different commands", h.name, o.name)
		}
	}
	once := make(map[string]int)
	for _, id := range want {
		once[id]++
	}
	for _, id := range slices.Sorted(maps.Keys(s.acked)) {
		if once[id] != 1 {
			s.fail("acknowledged command %s was applied %d times", id, once[id])
		}
	}
}

// drawChances draws the parameters of one schedule; each fault is absent from every fifth one.
func drawChances(r *rand.Rand) chances {
	rate := func(limit float64) float64 { return max(0, limit*(1.25*r.Float64()-0.25)) }
	return chances{
		loss: rate(0.25), duplicate: rate(0.3), crash: rate(0.003), diskError: rate(0.002), partition: rate(0.002),
		heal: rate(0.002), replace: rate(0.01), compact: rate(0.02), propose: 0.02 + rate(0.1), read: 0.02 + rate(0.05),
		elect: rate(0.004), wipe: rate(0.008),
	}
}

func drawSim(t *rapid.T, off rules) *sim {
	seed := rapid.Uint64().Draw(t, "seed")
	n := rapid.SampledFrom([]int{3, 5}).Draw(t, "hosts")
	return newSim(n, seed, drawChances(rand.New(rand.NewPCG(seed, 3))), off)
}

func (s *sim) run(n int) {
	for i := 0; i < n && s.violation == ""; i++ {
		s.step()
	}
	if s.violation == "" {
		s.settle()
	}
}

// soakSeeds is the number of schedules that `make soak` asks for; zero for the fixed ones of CI.
func soakSeeds() int {
	n, _ := strconv.Atoi(os.Getenv("SOAK_SEEDS"))
	return n
}

// checkSeeds runs the property for a number of schedules, the same ones on every run.
func checkSeeds(t *testing.T, n int, property func(*rapid.T)) {
	t.Helper()
	if soak := soakSeeds(); soak > 0 {
		n = soak
	}
	seeder.FixSeed(t, n)
	require.NoError(t, flag.Set("rapid.shrinktime", "2s"))
	rapid.Check(t, property)
}

// Guards against a change of the membership without a replacement that loses a command or makes two leaders: hosts that
// join, are taken out while they are cut off, and join again with an old log or without a disk.
func TestMembershipSchedules(t *testing.T) {
	var acked, joined, removed, wipes int
	checkSeeds(t, 8, func(rt *rapid.T) {
		s := drawSim(rt, rules{})
		s.reshapes, s.spares = true, 4
		s.odds.replace = 0.01
		s.run(steps)
		if s.violation != "" {
			rt.Fatal(s.violation)
		}
		acked += len(s.acked)
		joined += s.joined
		removed += s.removed
		wipes += s.wipes
	})
	t.Logf("acknowledged %d, joined %d, taken out %d, lost disks %d", acked, joined, removed, wipes)
	if soakSeeds() > 0 {
		return
	}
	require.Greater(t, acked, 500)
	require.Greater(t, joined, 20)
	require.Greater(t, removed, 10)
	require.Greater(t, wipes, 5)
}

// Guards against every violation of the invariants that sim checks, under loss, delay, reordering, duplication,
// crashes with lost writes, write errors, restarts, replacements and long partitions.
func TestSchedules(t *testing.T) {
	var elections, acked, reads, installs, replaced, wipes int
	checkSeeds(t, 8, func(rt *rapid.T) {
		s := drawSim(rt, rules{})
		s.run(steps)
		if s.violation != "" {
			rt.Fatal(s.violation)
		}
		elections += s.elections
		acked += len(s.acked)
		reads += s.readsDone
		installs += s.installs
		replaced += 4 - s.spares
		wipes += s.wipes
	})
	t.Logf("elections %d, acknowledged %d, reads %d, snapshots installed %d, replacements %d, lost disks %d",
		elections, acked, reads, installs, replaced, wipes)
	if soakSeeds() > 0 {
		return // Random seeds; the figures are printed.
	}
	// A schedule in which nothing happens would pass all checks.
	require.Greater(t, elections, 20)
	require.Greater(t, acked, 500)
	require.Greater(t, reads, 500)
	require.Greater(t, installs, 5)
	require.Greater(t, replaced, 5)
	require.Greater(t, wipes, 10)
}
