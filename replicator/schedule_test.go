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

// scheduleSteps is the number of steps in one schedule before all faults end.
const scheduleSteps = 12000

// faultProbabilities are the probabilities of the events in one schedule: per message for loss and duplicate, per write
// for diskError, per step and per write for crash, and per step for all others.
type faultProbabilities struct {
	loss, duplicate, crash, diskError, partition, heal, replace, compact, propose, read, elect, wipe float64
}

// host is one replica in the simulation. core is nil while the host is down.
type host struct {
	name             string
	store            *memStore
	core             *core
	machine          *recordingMachine
	machineIndex     uint64
	commitIndex      uint64
	pendingProposals map[uint64]proposal // by log index
	// minReadIndex holds the sim's ackedIndex at the start of each pending read, which the read index must reach.
	minReadIndex map[uint64]uint64
}

type proposal struct {
	term uint64
	id   string
}

type packet struct {
	from     string
	outbound outboundMessage
}

// entryID identifies a log entry: entries with the same index and term must have the same content.
type entryID struct{ index, term uint64 }

type entryContent struct{ checksum, prevTerm uint64 }

// sim runs cores with a seeded random schedule and checks the invariants after each step.
type sim struct {
	rand          *rand.Rand
	probabilities faultProbabilities
	disabled      disabledRules
	appendBytes   int
	hosts         map[string]*host
	names         []string
	inFlight      []packet
	blockedLinks  map[[2]string]bool

	leaderOfTerm     map[uint64]string
	contentOf        map[entryID]entryContent
	committedEntries map[uint64]entryID
	ackedCommands    map[string]uint64
	recentCommands   []string
	// ackedIndex is the highest log index that an acknowledged command or a completed read has returned.
	ackedIndex uint64
	nextID     uint64
	spareHosts int
	// changesMembership makes hosts join, leave and rejoin instead of being replaced.
	changesMembership bool
	// removal is the policy of all hosts.
	removal          removalPolicy
	departures       int
	joins            int
	removals         int
	elections        int
	completedReads   int
	snapshotInstalls int
	diskLosses       int
	// members is the membership at membersIndex, the highest commit index of any host.
	members        []Member
	membersIndex   uint64
	lastWiped      *host
	bootstrapState sycamorevane.DurableState
	violation      string
}

func newSim(hostCount int, seed uint64, probabilities faultProbabilities, disabled disabledRules) *sim {
	s := &sim{
		rand: rand.New(rand.NewPCG(seed, 1)), probabilities: probabilities, disabled: disabled, appendBytes: 150,
		hosts: make(map[string]*host), blockedLinks: make(map[[2]string]bool), leaderOfTerm: make(map[uint64]string),
		contentOf: make(map[entryID]entryContent), committedEntries: make(map[uint64]entryID),
		ackedCommands: make(map[string]uint64), spareHosts: 4,
	}
	names := make([]string, hostCount)
	for i := range names {
		names[i] = fmt.Sprintf("h%d", i)
	}
	s.bootstrapState = sycamorevane.DurableState{
		HardState: sycamorevane.HardState{Term: 1}, Entries: []sycamorevane.LogEntry{bootstrapEntry(names)},
	}
	for _, name := range names {
		s.addHost(name, s.bootstrapState)
	}
	return s
}

func (s *sim) addHost(name string, d sycamorevane.DurableState) {
	s.names = append(s.names, name)
	s.hosts[name] = &host{name: name, store: &memStore{durable: d}}
	s.startHost(s.hosts[name])
}

func (s *sim) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

func (s *sim) chance(p float64) bool { return s.rand.Float64() < p }

func (s *sim) startHost(h *host) {
	d, _ := h.store.Load()
	c, err := newCore(h.name, d, rand.New(rand.NewPCG(s.rand.Uint64(), 2)))
	if err != nil {
		s.fail("%s: %v", h.name, err)
		return
	}
	c.disabled, c.removal = s.disabled, s.removal
	c.limits = byteLimits{appendBytes: s.appendBytes, chunkBytes: 300, catchUpBytes: 60}
	h.core, h.machine = c, newRecordingMachine()
	h.machineIndex, h.commitIndex = d.Snapshot.Index, d.Snapshot.Index
	h.pendingProposals, h.minReadIndex = make(map[uint64]proposal), make(map[uint64]uint64)
	if d.Snapshot.Index > 0 {
		if err := h.machine.Restore(d.Snapshot.Data); err != nil {
			s.fail("%s: %v", h.name, err)
		}
	}
	h.store.fault = func() (float64, error) {
		switch {
		case s.chance(s.probabilities.diskError):
			return s.rand.Float64(), errDisk
		case s.chance(s.probabilities.crash):
			return s.rand.Float64(), errCrash
		}
		return 1, nil
	}
}

// processEffects carries out the effects of one input as Replicator.processEffects does. The host may crash in between.
func (s *sim) processEffects(h *host) {
	for h.core != nil {
		e := h.core.takeEffects()
		for _, m := range e.messages {
			s.inFlight = append(s.inFlight, packet{h.name, m})
		}
		s.completeReads(h, e.readResults)
		s.departures += len(e.departures)
		if !e.write.empty() {
			err := writeToStore(h.store, e.write)
			if err == errCrash {
				h.core = nil
				return
			}
			if err != nil && err != errDisk {
				s.fail("%s: store rejected a valid write: %v", h.name, err)
			}
			h.core.writeDone(err)
			continue
		}
		if e.snapshotToRestore != nil {
			s.snapshotInstalls++
			if err := h.machine.Restore(e.snapshotToRestore.Data); err != nil {
				s.fail("%s: snapshot: %v", h.name, err)
			}
			if e.snapshotToRestore.Index < h.machineIndex {
				s.fail("%s: restored index %d after %d: version decreased", h.name, e.snapshotToRestore.Index, h.machineIndex)
			}
			h.machineIndex = e.snapshotToRestore.Index
		}
		for _, entry := range e.committedEntries {
			s.apply(h, entry)
		}
		if len(e.committedEntries) == 0 {
			break
		}
	}
	s.checkHost(h)
}

func (s *sim) apply(h *host, e sycamorevane.LogEntry) {
	if e.Index != h.machineIndex+1 {
		s.fail("%s: index %d applied after %d", h.name, e.Index, h.machineIndex)
	}
	h.machineIndex = e.Index
	if e.Kind == kindCommand {
		h.machine.Apply(e)
	}
	p, ok := h.pendingProposals[e.Index]
	delete(h.pendingProposals, e.Index)
	if ok && p.term == e.Term {
		if _, acked := s.ackedCommands[p.id]; !acked {
			s.ackedCommands[p.id] = e.Index
		}
		s.ackedIndex = max(s.ackedIndex, e.Index)
	}
}

func (s *sim) completeReads(h *host, results []readResult) {
	for _, r := range results {
		minIndex := h.minReadIndex[r.id]
		delete(h.minReadIndex, r.id)
		if !r.ok {
			continue
		}
		if r.index < minIndex {
			s.fail("%s: read at index %d after index %d was acknowledged", h.name, r.index, minIndex)
		}
		s.ackedIndex = max(s.ackedIndex, r.index)
		s.completedReads++
	}
}

// checkHost checks the invariants of one host against the recorded state of all hosts.
func (s *sim) checkHost(h *host) {
	c := h.core
	if c == nil {
		return
	}
	if c.role == leader {
		if otherLeader, ok := s.leaderOfTerm[c.hardState.Term]; ok && otherLeader != h.name {
			s.fail("two leaders in term %d: %s and %s", c.hardState.Term, otherLeader, h.name)
		}
		if _, ok := s.leaderOfTerm[c.hardState.Term]; !ok {
			s.elections++
		}
		s.leaderOfTerm[c.hardState.Term] = h.name
	}
	if c.commitIndex < h.commitIndex {
		s.fail("%s: commit index decreased from %d to %d", h.name, h.commitIndex, c.commitIndex)
	}
	if c.commitIndex > s.membersIndex && c.log.memberships[len(c.log.memberships)-1].index <= c.commitIndex {
		s.membersIndex, s.members = c.commitIndex, c.log.members()
	}
	prevTerm := c.log.baseTerm
	for _, e := range c.log.entries {
		s.checkEntry(h, e, prevTerm)
		prevTerm = e.Term
	}
	h.commitIndex = c.commitIndex
}

func (s *sim) checkEntry(h *host, e sycamorevane.LogEntry, prevTerm uint64) {
	id := entryID{e.Index, e.Term}
	got := entryContent{xxhash.Sum64(append([]byte{e.Kind}, e.Data...)), prevTerm}
	if known, ok := s.contentOf[id]; ok && known != got {
		s.fail("%s: log matching: entry %d of term %d differs between hosts", h.name, e.Index, e.Term)
	}
	s.contentOf[id] = got
	if e.Index <= h.commitIndex || e.Index > h.core.commitIndex {
		return
	}
	if known, ok := s.committedEntries[e.Index]; ok && known != id {
		s.fail("%s: committed entry %d has term %d, was committed with term %d", h.name, e.Index, e.Term, known.term)
	}
	s.committedEntries[e.Index] = id
}

// randomRunningHost returns a randomly chosen host if it is running, or else nil.
func (s *sim) randomRunningHost() *host {
	h := s.hosts[s.names[s.rand.IntN(len(s.names))]]
	if h.core == nil {
		return nil
	}
	return h
}

// randomLeader returns a randomly chosen running host that considers itself leader, or nil if there is none.
func (s *sim) randomLeader() *host {
	var leaders []*host
	for _, n := range s.names {
		if h := s.hosts[n]; h.core != nil && h.core.role == leader {
			leaders = append(leaders, h)
		}
	}
	if len(leaders) == 0 {
		return nil
	}
	return leaders[s.rand.IntN(len(leaders))]
}

func (s *sim) step() {
	s.injectFault()
	if h := s.randomLeader(); h != nil {
		s.proposeAndRead(h)
	}
	if len(s.inFlight) > 0 && s.chance(0.65) {
		s.deliver(s.rand.IntN(len(s.inFlight)))
		return
	}
	if h := s.randomRunningHost(); h != nil {
		h.core.tick()
		s.processEffects(h)
	}
}

func (s *sim) deliver(i int) {
	p := s.inFlight[i]
	if !s.chance(s.probabilities.duplicate) {
		s.inFlight[i] = s.inFlight[len(s.inFlight)-1]
		s.inFlight = s.inFlight[:len(s.inFlight)-1]
	}
	if len(s.inFlight) > 300 {
		s.inFlight = s.inFlight[100:]
	}
	h := s.hosts[p.outbound.to]
	if h == nil || h.core == nil || s.blockedLinks[[2]string{p.from, p.outbound.to}] || s.chance(s.probabilities.loss) {
		return
	}
	h.core.step(p.from, p.outbound.msg)
	s.processEffects(h)
}

// proposeAndRead sends commands and reads to a host that considers itself leader.
func (s *sim) proposeAndRead(h *host) {
	if s.chance(s.probabilities.propose) {
		s.nextID++
		id := fmt.Sprintf("command-%d", s.nextID)
		if len(s.recentCommands) > 0 && s.chance(0.3) {
			id = s.recentCommands[s.rand.IntN(len(s.recentCommands))] // Resent, as after a lost reply.
		}
		if index, term, err := h.core.propose([]byte(id)); err == nil {
			h.pendingProposals[index] = proposal{term, id}
			s.recentCommands = append(s.recentCommands, id)
			if len(s.recentCommands) > 20 {
				s.recentCommands = s.recentCommands[1:]
			}
		}
		s.processEffects(h)
	}
	if h.core != nil && s.chance(s.probabilities.read) {
		s.nextID++
		h.minReadIndex[s.nextID] = s.ackedIndex
		h.core.readIndex(s.nextID)
		s.processEffects(h)
	}
}

func (s *sim) injectFault() {
	h := s.hosts[s.names[s.rand.IntN(len(s.names))]]
	switch {
	case h.core != nil && s.chance(s.probabilities.crash):
		h.core = nil
	case h.core == nil && s.chance(0.02), h.core != nil && h.core.failed && s.chance(0.02):
		s.startHost(h)
	case h.core != nil && s.chance(s.probabilities.compact):
		if h.core.appliedIndex > h.core.log.snapshot.Index && !h.core.failed {
			data, _ := h.machine.Snapshot()
			h.core.compact(data)
			s.processEffects(h)
		}
	case h.core != nil && s.chance(s.probabilities.elect):
		if h.core.role != leader && h.core.canCampaign() && !h.core.failed {
			h.core.campaign(candidate, true)
			s.processEffects(h)
		}
	case s.chance(s.probabilities.wipe):
		s.wipeDisk(h)
	case s.chance(s.probabilities.partition):
		s.partition()
	case s.chance(s.probabilities.heal):
		clear(s.blockedLinks)
	case s.changesMembership && s.chance(s.probabilities.replace):
		s.changeMembership()
	case s.spareHosts > 0 && s.chance(s.probabilities.replace):
		s.replaceMember()
	}
}

// wipeDisk stops a host and deletes the content of its disk, but only if all members have a log: a majority of members
// without a log cannot be distinguished from a new cluster. Messages to and from the host are lost with its
// connections.
func (s *sim) wipeDisk(h *host) {
	if len(s.members) == 0 || s.lastWiped != nil && s.lastWiped.recovering() {
		return
	}
	for _, m := range s.members {
		if s.hosts[m.Name].recovering() {
			return
		}
	}
	s.lastWiped = h
	h.core = nil
	h.store.durable = sycamorevane.DurableState{}
	if s.isInitialVoter(h.name) {
		h.store.durable = s.bootstrapState
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(p packet) bool { return p.from == h.name || p.outbound.to == h.name })
	s.diskLosses++
}

func (h *host) recovering() bool {
	d := h.store.durable
	return d.HardState.VotedFor == recoveringVote || len(d.Entries) < 2 && d.Snapshot.Index == 0
}

func (s *sim) isInitialVoter(name string) bool { return name[0] == 'h' }

// partition separates a random subset of the hosts from the others, sometimes in one direction only.
func (s *sim) partition() {
	clear(s.blockedLinks)
	side := make(map[string]bool)
	for _, n := range s.names {
		side[n] = s.chance(0.4)
	}
	oneWay := s.chance(0.2)
	for _, a := range s.names {
		for _, b := range s.names {
			if side[a] && !side[b] {
				s.blockedLinks[[2]string{a, b}] = true
				s.blockedLinks[[2]string{b, a}] = !oneWay
			}
		}
	}
}

func (s *sim) replaceMember() {
	h := s.randomLeader()
	if h == nil {
		return
	}
	members := h.core.log.members()
	old := members[s.rand.IntN(len(members))]
	name := fmt.Sprintf("n%d", s.spareHosts)
	if _, err := h.core.replaceMember(old.Name, name); err != nil {
		return
	}
	s.spareHosts--
	s.addHost(name, sycamorevane.DurableState{})
	s.processEffects(h)
}

// changeMembership adds a new host, removes a member, or adds a removed host again with its old disk content.
func (s *sim) changeMembership() {
	h := s.randomLeader()
	if h == nil {
		return
	}
	members := h.core.log.members()
	switch other := s.names[s.rand.IntN(len(s.names))]; s.rand.IntN(3) {
	case 0:
		if s.spareHosts == 0 {
			return
		}
		name := fmt.Sprintf("n%d", s.spareHosts)
		if _, err := h.core.replaceMember("", name); err == nil {
			s.spareHosts--
			s.joins++
			s.addHost(name, sycamorevane.DurableState{})
		}
	case 1:
		if _, in := h.core.findMember(other); in && len(members) > 3 {
			if _, err := h.core.replaceMember(other, ""); err == nil {
				s.removals++
			}
		}
	case 2:
		if _, in := h.core.findMember(other); !in {
			if _, err := h.core.replaceMember("", other); err == nil {
				s.joins++
			}
		}
	}
	s.processEffects(h)
}

// healAndCheck ends all faults. It then checks that the cluster recovers, applies a final command on all members and
// has lost no acknowledged command.
func (s *sim) healAndCheck() {
	s.probabilities = faultProbabilities{}
	clear(s.blockedLinks)
	for _, n := range s.names {
		if h := s.hosts[n]; h.core == nil || h.core.failed {
			s.startHost(h)
		}
	}
	s.tickAll(200)
	s.proposeFinalCommand()
	s.tickAll(200)
	s.checkFinalState()
}

// tickAll ticks all hosts n times in lockstep and delivers all messages after each tick.
func (s *sim) tickAll(n int) {
	for ; n > 0 && s.violation == ""; n-- {
		for _, name := range s.names {
			if h := s.hosts[name]; h.core != nil {
				h.core.tick()
				s.processEffects(h)
			}
		}
		for i := 0; i < 2000 && len(s.inFlight) > 0; i++ {
			s.deliver(0)
		}
	}
}

func (s *sim) proposeFinalCommand() {
	for _, n := range s.names {
		h := s.hosts[n]
		if h.core.role != leader {
			continue
		}
		if index, term, err := h.core.propose([]byte("last")); err == nil {
			h.pendingProposals[index] = proposal{term, "last"}
		}
		s.processEffects(h)
	}
}

func (s *sim) checkFinalState() {
	if _, ok := s.ackedCommands["last"]; !ok {
		s.fail("cluster commits no command after all faults ended")
		return
	}
	h := s.randomLeader()
	want := h.machine.appliedCommands()
	for _, m := range h.core.log.members() {
		other := s.hosts[m.Name]
		if !slices.Equal(other.machine.appliedCommands(), want) {
			s.fail("%s and %s applied different commands", h.name, other.name)
		}
	}
	timesApplied := make(map[string]int)
	for _, id := range want {
		timesApplied[id]++
	}
	for _, id := range slices.Sorted(maps.Keys(s.ackedCommands)) {
		if timesApplied[id] != 1 {
			s.fail("acknowledged command %s was applied %d times", id, timesApplied[id])
		}
	}
}

// drawProbabilities draws the parameters of one schedule. Each kind of fault is absent from about every fifth schedule.
func drawProbabilities(r *rand.Rand) faultProbabilities {
	draw := func(limit float64) float64 { return max(0, limit*(1.25*r.Float64()-0.25)) }
	return faultProbabilities{
		loss: draw(0.25), duplicate: draw(0.3), crash: draw(0.003), diskError: draw(0.002), partition: draw(0.002),
		heal: draw(0.002), replace: draw(0.01), compact: draw(0.02), propose: 0.02 + draw(0.1), read: 0.02 + draw(0.05),
		elect: draw(0.004), wipe: draw(0.008),
	}
}

func drawSimulation(t *rapid.T, disabled disabledRules) *sim {
	seed := rapid.Uint64().Draw(t, "seed")
	n := rapid.SampledFrom([]int{3, 5}).Draw(t, "hosts")
	return newSim(n, seed, drawProbabilities(rand.New(rand.NewPCG(seed, 3))), disabled)
}

func (s *sim) run(n int) {
	for i := 0; i < n && s.violation == ""; i++ {
		s.step()
	}
	if s.violation == "" {
		s.healAndCheck()
	}
}

// soakSeeds returns the number of schedules requested by `make soak`, or zero for the fixed schedules of CI.
func soakSeeds() int {
	n, _ := strconv.Atoi(os.Getenv("SOAK_SEEDS"))
	return n
}

// checkSeeds checks the property for n schedules, the same ones on every run, or for the number given by SOAK_SEEDS.
func checkSeeds(t *testing.T, n int, property func(*rapid.T)) {
	t.Helper()
	if soak := soakSeeds(); soak > 0 {
		n = soak
	}
	seeder.FixSeed(t, n)
	require.NoError(t, flag.Set("rapid.shrinktime", "2s"))
	rapid.Check(t, property)
}

// Guards against membership changes that lose a command or allow two leaders in a term: hosts join, are removed while
// they are partitioned, and rejoin with an old log or an empty disk.
func TestMembershipSchedules(t *testing.T) {
	var acked, joined, removed, departed, wipes int
	checkSeeds(t, 8, func(rt *rapid.T) {
		s := drawSimulation(rt, disabledRules{})
		s.changesMembership, s.spareHosts = true, 4
		s.removal = removalPolicy{silentTicks: 30, minVoters: 3}
		for _, h := range s.hosts {
			h.core.removal = s.removal
		}
		s.probabilities.replace = 0.01
		s.run(scheduleSteps)
		if s.violation != "" {
			rt.Fatal(s.violation)
		}
		acked += len(s.ackedCommands)
		joined += s.joins
		removed += s.removals
		departed += s.departures
		wipes += s.diskLosses
	})
	t.Logf("acknowledged %d, joined %d, removed %d, silent ones removed %d, lost disks %d", acked, joined, removed, departed, wipes)
	if soakSeeds() > 0 {
		return
	}
	require.Greater(t, acked, 500)
	require.Greater(t, joined, 20)
	require.Greater(t, removed, 10)
	require.Greater(t, departed, 5)
	require.Greater(t, wipes, 5)
}

// Guards against violations of the invariants that sim checks, under message loss, delay, reordering and duplication,
// crashes with lost writes, write errors, restarts, replacements and long partitions.
func TestSchedules(t *testing.T) {
	var elections, acked, reads, installs, replaced, wipes int
	checkSeeds(t, 8, func(rt *rapid.T) {
		s := drawSimulation(rt, disabledRules{})
		s.run(scheduleSteps)
		if s.violation != "" {
			rt.Fatal(s.violation)
		}
		elections += s.elections
		acked += len(s.ackedCommands)
		reads += s.completedReads
		installs += s.snapshotInstalls
		replaced += 4 - s.spareHosts
		wipes += s.diskLosses
	})
	t.Logf("elections %d, acknowledged %d, reads %d, snapshots installed %d, replacements %d, lost disks %d",
		elections, acked, reads, installs, replaced, wipes)
	if soakSeeds() > 0 {
		return // The seeds are random, so the counts have no fixed lower bounds. They are logged.
	}
	// Schedules in which nothing happens would pass all checks.
	require.Greater(t, elections, 20)
	require.Greater(t, acked, 500)
	require.Greater(t, reads, 500)
	require.Greater(t, installs, 5)
	require.Greater(t, replaced, 5)
	require.Greater(t, wipes, 10)
}
