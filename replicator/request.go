package replicator

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

// Propose commits a command and returns the outcome of applying it at the leader. Errors: *UncertainError when the
// command may be committed or not, *sycamorevane.NotLeaderError when it was not proposed since no leader was found
// in time.
func (r *Replicator) Propose(ctx context.Context, data []byte) ([]byte, error) {
	if len(data) > MaxCommand {
		return nil, errors.NotValidf("command of %d bytes, above %d,", len(data), MaxCommand)
	}
	ctx, cancel := bounded(ctx)
	defer cancel()
	for {
		reply, err := r.ask(ctx, &request{kind: requestPropose, data: data}, &encoder.ProposeAsk{Data: data})
		if err != nil {
			return nil, err
		}
		switch reply.Status {
		case encoder.ConsensusReply_DONE:
			return reply.Outcome, nil
		case encoder.ConsensusReply_UNCERTAIN:
			return nil, &UncertainError{Leader: reply.Leader, Reason: reply.Reason}
		case encoder.ConsensusReply_INVALID:
			return nil, errors.Errorf("command refused: %s", reply.Reason)
		case encoder.ConsensusReply_NOT_LEADER:
		}
		if !pause(ctx, retryPause) {
			return nil, &sycamorevane.NotLeaderError{Leader: r.read().leader}
		}
	}
}

// ReadIndex returns once this host has applied every command that was acknowledged anywhere before the call, so
// that a read of the local state machine is linearizable. Errors: *sycamorevane.NotLeaderError when no leader
// confirmed it in time, the context's when this host did not catch up in time.
func (r *Replicator) ReadIndex(ctx context.Context) (uint64, error) {
	ctx, cancel := bounded(ctx)
	defer cancel()
	for {
		attempt, done := context.WithTimeout(ctx, attemptTimeout)
		reply, err := r.ask(attempt, &request{kind: requestRead}, &encoder.ReadAsk{})
		done()
		if err == nil && reply.Status == encoder.ConsensusReply_DONE {
			return reply.Index, r.waitApplied(ctx, reply.Index)
		}
		if !pause(ctx, retryPause) {
			return 0, &sycamorevane.NotLeaderError{Leader: r.read().leader}
		}
	}
}

func (r *Replicator) waitApplied(ctx context.Context, index uint64) error {
	for {
		s, changed := r.watch()
		if s.applied >= index {
			return nil
		}
		if s.failed {
			return errors.Errorf("store of host %q failed; it no longer follows the control log", r.cfg.Self)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-r.ctx.Done():
			return errors.New("replica is stopped")
		}
	}
}

// Replace makes new a member in place of old and returns once that is committed. A call that ended early can be
// repeated; the replacement goes on by itself meanwhile.
func (r *Replicator) Replace(ctx context.Context, old, new string) error {
	for {
		reply, err := r.ask(ctx, &request{kind: requestReplace, old: old, new: new}, &encoder.ReplaceAsk{Old: old, New: new})
		var lost *UncertainError
		switch {
		case ctx.Err() != nil:
			return errors.Annotatef(ctx.Err(), "replacing host %q by %q", old, new)
		case errors.As(err, &lost):
		case err != nil:
			return err
		case reply.Status == encoder.ConsensusReply_DONE:
			return nil
		case reply.Status == encoder.ConsensusReply_INVALID:
			return errors.New(reply.Reason)
		}
		if !pause(ctx, retryPause) {
			return errors.Annotatef(ctx.Err(), "replacing host %q by %q", old, new)
		}
	}
}

// Join makes a host a member, without another one leaving. Errors: as Replace.
func (r *Replicator) Join(ctx context.Context, name string) error { return r.Replace(ctx, "", name) }

// Remove takes a host out of the membership for good. Errors: as Replace.
func (r *Replicator) Remove(ctx context.Context, name string) error { return r.Replace(ctx, name, "") }

// Silent lists the members that have not answered this leader for at least d; empty on other hosts.
func (r *Replicator) Silent(d time.Duration) []string {
	var names []string
	for name, since := range r.read().silence {
		if since >= d {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ask gives a request to the leader, here or on another host. An error means an unknown outcome.
func (r *Replicator) ask(ctx context.Context, req *request, m proto.Message) (*encoder.ConsensusReply, error) {
	r.mu.Lock()
	s, led := r.status, r.led
	r.mu.Unlock()
	switch {
	case s.self:
		return r.submit(ctx, req)
	case s.leader == "":
		return &encoder.ConsensusReply{Status: encoder.ConsensusReply_NOT_LEADER}, nil
	}
	return r.forward(ctx, s.leader, led, m)
}

// forward calls the leader and gives up when this host learns of another one.
func (r *Replicator) forward(ctx context.Context, to string, led <-chan struct{}, m proto.Message) (*encoder.ConsensusReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-led:
		case <-r.ctx.Done():
		case <-ctx.Done():
		}
		cancel()
	}()
	answer, err := r.cfg.Transport.Call(ctx, to, m)
	var busy *sycamorevane.QueueFullError
	var unreachable *sycamorevane.UnreachableError
	if errors.As(err, &busy) || errors.As(err, &unreachable) {
		return &encoder.ConsensusReply{Status: encoder.ConsensusReply_NOT_LEADER}, nil
	}
	if err != nil {
		return nil, &UncertainError{Leader: to, Reason: err.Error()}
	}
	reply, ok := answer.(*encoder.ConsensusReply)
	if !ok {
		return nil, &UncertainError{Leader: to, Reason: "answer of an unexpected type"}
	}
	return reply, nil
}

// submit gives a request to the loop of this host.
func (r *Replicator) submit(ctx context.Context, req *request) (*encoder.ConsensusReply, error) {
	req.done = make(chan *encoder.ConsensusReply, 1)
	none := &encoder.ConsensusReply{Status: encoder.ConsensusReply_NOT_LEADER}
	select {
	case r.requests <- req:
	case <-ctx.Done():
		return none, nil
	case <-r.ctx.Done():
		return none, nil
	}
	select {
	case reply := <-req.done:
		return reply, nil
	case <-ctx.Done():
		return nil, &UncertainError{Leader: r.cfg.Self, Reason: ctx.Err().Error()}
	case <-r.ctx.Done():
		return nil, &UncertainError{Leader: r.cfg.Self, Reason: "this host is stopping"}
	}
}

// serve carries out a request that another host forwarded.
func (r *Replicator) serve(req *request) proto.Message {
	ctx, cancel := context.WithTimeout(r.ctx, answerTimeout)
	defer cancel()
	reply, err := r.submit(ctx, req)
	if err != nil {
		return &encoder.ConsensusReply{Status: encoder.ConsensusReply_UNCERTAIN, Leader: r.cfg.Self, Reason: err.Error()}
	}
	return reply
}

func (r *Replicator) onPropose(_ string, m proto.Message) proto.Message {
	ask, ok := m.(*encoder.ProposeAsk)
	if !ok || len(ask.Data) > MaxCommand {
		return &encoder.ConsensusReply{Status: encoder.ConsensusReply_INVALID, Reason: "command is too large"}
	}
	return r.serve(&request{kind: requestPropose, data: ask.Data})
}

func (r *Replicator) onRead(string, proto.Message) proto.Message {
	return r.serve(&request{kind: requestRead})
}

func (r *Replicator) onReplace(_ string, m proto.Message) proto.Message {
	ask, ok := m.(*encoder.ReplaceAsk)
	if !ok {
		return nil
	}
	return r.serve(&request{kind: requestReplace, old: ask.Old, new: ask.New})
}

// bounded adds answerTimeout to a context without a deadline.
func bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, answerTimeout)
}

// pause waits and reports false when the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
