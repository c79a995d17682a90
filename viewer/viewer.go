// Package viewer provides the numbered status view on each control host. The leader computes a view each second from the
// summaries of the entries and sends it to its followers, so that a number stands for the same view on all of them.
package viewer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/renderer"
)

const (
	viewInterval    = time.Second
	maxAuditRecords = 12
)

// Config holds the dependencies of a Viewer.
type Config struct {
	Transport    sycamorevane.Transport
	StateMachine *applier.Machine
	// CurrentLeader returns the name of the leader, whether this host is the leader, and the term.
	CurrentLeader func() (name string, self bool, term uint64)
	// ControlStatus returns the status of the control hosts as known to this host.
	ControlStatus func() []renderer.Control
	Log           logr.Logger
}

// Viewer stores the latest view. On the leader it also computes the views.
type Viewer struct {
	cfg  Config
	view atomic.Pointer[renderer.View]
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu        sync.Mutex
	summaries *renderer.SummaryStore
	term      uint64
	seq       uint64
}

// New returns a Viewer and registers its message handlers. Views are computed after Start, while this host is the leader.
func New(cfg Config) *Viewer {
	ctx, stop := context.WithCancel(context.Background())
	v := &Viewer{cfg: cfg, ctx: ctx, stop: stop, summaries: renderer.NewSummaryStore()}
	cfg.Transport.Handle(&encoder.LoadSummary{}, v.handleSummary)
	cfg.Transport.Handle(&encoder.ViewPush{}, v.handlePush)
	return v
}

// Start starts the computation of views in the background.
func (v *Viewer) Start() { v.wg.Go(v.loop) }

// Close stops the computation of views and waits for its end.
func (v *Viewer) Close() {
	v.stop()
	v.wg.Wait()
}

// View returns the latest view, or nil if there is none yet. The caller must not modify it.
func (v *Viewer) View() *renderer.View { return v.view.Load() }

func (v *Viewer) loop() {
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			v.tick(time.Now())
		case <-v.ctx.Done():
			return
		}
	}
}

func (v *Viewer) tick(now time.Time) {
	leader, isLeader, term := v.cfg.CurrentLeader()
	if !isLeader {
		return
	}
	view := renderer.Render(v.renderInput(now, leader, term))
	v.storeIfNewer(view)
	push, err := renderer.EncodeView(view)
	if err != nil {
		v.cfg.Log.Error(err, "status view cannot be encoded", "number", view.Number)
		return
	}
	for _, name := range v.cfg.StateMachine.State().Config.HostsWith(sycamorevane.RoleControl) {
		if name != v.cfg.Transport.Self() {
			_ = v.cfg.Transport.Send(name, push) // If it is lost, the next view follows within a second.
		}
	}
}

func (v *Viewer) renderInput(now time.Time, leader string, term uint64) renderer.Input {
	v.mu.Lock()
	defer v.mu.Unlock()
	if term != v.term {
		v.term, v.seq = term, 0
	}
	v.seq++
	state := v.cfg.StateMachine.State()
	in := renderer.Input{Term: term, Seq: v.seq, Now: now, Leader: leader, State: state, Controls: v.cfg.ControlStatus()}
	for _, summary := range v.summaries.Summaries(now) {
		if state.Config.Host(summary.Entry) == nil {
			v.summaries.Forget(summary.Entry)
			continue
		}
		in.Entries = append(in.Entries, summary)
	}
	in.Changes = v.cfg.StateMachine.Audit(applier.Query{Limit: maxAuditRecords}).Records
	return in
}

// storeIfNewer stores the view unless the stored one is the same or later.
func (v *Viewer) storeIfNewer(view *renderer.View) {
	for {
		current := v.view.Load()
		if current != nil && (view.Term < current.Term || view.Term == current.Term && view.Seq <= current.Seq) {
			return
		}
		if v.view.CompareAndSwap(current, view) {
			return
		}
	}
}

func (v *Viewer) handlePush(_ string, m proto.Message) proto.Message {
	push, _ := m.(*encoder.ViewPush)
	view, err := renderer.DecodeView(push)
	if err != nil {
		v.cfg.Log.Error(err, "status view from the leader cannot be read")
		return nil
	}
	v.storeIfNewer(view)
	return nil
}

func (v *Viewer) handleSummary(from string, m proto.Message) proto.Message {
	s, _ := m.(*encoder.LoadSummary)
	summary := renderer.DecodeSummary(s, time.Now())
	summary.Entry = from
	v.mu.Lock()
	v.summaries.Merge(summary)
	v.mu.Unlock()
	return nil
}
