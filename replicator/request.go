package replicator

import (
	"context"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

// Propose commits a command and returns the result of applying it on the leader. It returns an *UncertainCommitError
// when it is unknown whether the command is committed, and a *sycamorevane.NotLeaderError when the command was not
// proposed because no leader was found in time.
func (r *Replicator) Propose(ctx context.Context, data []byte) ([]byte, error) {
	if len(data) > MaxCommandBytes {
		return nil, errors.NotValidf("command of %d bytes (limit %d)", len(data), MaxCommandBytes)
	}
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	for {
		if ctx.Err() != nil {
			return nil, &sycamorevane.NotLeaderError{Leader: r.currentStatus().leader}
		}
		reply, err := r.sendToLeader(ctx, &request{kind: requestPropose, data: data}, &encoder.ProposeAsk{Data: data})
		if err != nil {
			return nil, err
		}
		switch reply.Status {
		case encoder.ConsensusReply_DONE:
			return reply.Outcome, nil
		case encoder.ConsensusReply_UNCERTAIN:
			return nil, &UncertainCommitError{Leader: reply.Leader, Reason: reply.Reason}
		case encoder.ConsensusReply_INVALID:
			return nil, errors.Errorf("command rejected: %s", reply.Reason)
		case encoder.ConsensusReply_NOT_LEADER:
		}
		if !sleep(ctx, requestRetryInterval) {
			return nil, &sycamorevane.NotLeaderError{Leader: r.currentStatus().leader}
		}
	}
}

// ReadIndex returns once this host has applied every command that was acknowledged on any host before the call. A read
// of the local state machine after that is linearizable. ReadIndex returns a *sycamorevane.NotLeaderError when no
// leader confirmed the read index in time, and the context's error when this host did not apply up to it in time.
func (r *Replicator) ReadIndex(ctx context.Context) (uint64, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	for {
		attemptCtx, cancelAttempt := context.WithTimeout(ctx, readAttemptTimeout)
		reply, err := r.sendToLeader(attemptCtx, &request{kind: requestRead}, &encoder.ReadAsk{})
		cancelAttempt()
		if err == nil && reply.Status == encoder.ConsensusReply_DONE {
			return reply.Index, r.waitUntilApplied(ctx, reply.Index)
		}
		if !sleep(ctx, requestRetryInterval) {
			return 0, &sycamorevane.NotLeaderError{Leader: r.currentStatus().leader}
		}
	}
}

func (r *Replicator) waitUntilApplied(ctx context.Context, index uint64) error {
	for {
		s, changed := r.watchStatus()
		if s.appliedIndex >= index {
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

// Replace replaces the member oldName by newName and returns once the change is committed. The replacement continues
// when the call ends early, and the call can be repeated to wait for its completion.
func (r *Replicator) Replace(ctx context.Context, oldName, newName string) error {
	for {
		reply, err := r.sendToLeader(ctx, &request{kind: requestReplace, oldName: oldName, newName: newName},
			&encoder.ReplaceAsk{Old: oldName, New: newName})
		var uncertain *UncertainCommitError
		switch {
		case ctx.Err() != nil:
			return errors.Annotatef(ctx.Err(), "replacing host %q by %q", oldName, newName)
		case errors.As(err, &uncertain):
		case err != nil:
			return err
		case reply.Status == encoder.ConsensusReply_DONE:
			return nil
		case reply.Status == encoder.ConsensusReply_INVALID:
			return errors.New(reply.Reason)
		}
		if !sleep(ctx, requestRetryInterval) {
			return errors.Annotatef(ctx.Err(), "replacing host %q by %q", oldName, newName)
		}
	}
}

// AddMember adds a host to the membership. It returns the same errors as Replace.
func (r *Replicator) AddMember(ctx context.Context, name string) error {
	return r.Replace(ctx, "", name)
}

// RemoveMember removes a host from the membership permanently. It returns the same errors as Replace.
func (r *Replicator) RemoveMember(ctx context.Context, name string) error {
	return r.Replace(ctx, name, "")
}

// sendToLeader sends a request to the leader, which is this host or another one. An error means that the outcome is
// unknown.
func (r *Replicator) sendToLeader(ctx context.Context, req *request, m proto.Message) (*encoder.ConsensusReply, error) {
	r.mu.Lock()
	s, leaderChanged := r.status, r.leaderChanged
	r.mu.Unlock()
	switch {
	case s.isLeader:
		return r.submitToLoop(ctx, req)
	case s.leader == "":
		return &encoder.ConsensusReply{Status: encoder.ConsensusReply_NOT_LEADER}, nil
	}
	return r.forwardToLeader(ctx, s.leader, leaderChanged, m)
}

// forwardToLeader sends a request to the leader on another host. It gives up when this host sees a new leader or term.
func (r *Replicator) forwardToLeader(
	ctx context.Context, leader string, leaderChanged <-chan struct{}, m proto.Message,
) (*encoder.ConsensusReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-leaderChanged:
		case <-r.ctx.Done():
		case <-ctx.Done():
		}
		cancel()
	}()
	response, err := r.cfg.Transport.Call(ctx, leader, m)
	var queueFull *sycamorevane.QueueFullError
	var unreachable *sycamorevane.UnreachableError
	if errors.As(err, &queueFull) || errors.As(err, &unreachable) {
		return &encoder.ConsensusReply{Status: encoder.ConsensusReply_NOT_LEADER}, nil
	}
	if err != nil {
		return nil, &UncertainCommitError{Leader: leader, Reason: err.Error()}
	}
	reply, ok := response.(*encoder.ConsensusReply)
	if !ok {
		return nil, &UncertainCommitError{Leader: leader, Reason: "answer of an unexpected type"}
	}
	return reply, nil
}

// submitToLoop sends a request to the event loop of this host and waits for the reply.
func (r *Replicator) submitToLoop(ctx context.Context, req *request) (*encoder.ConsensusReply, error) {
	req.reply = make(chan *encoder.ConsensusReply, 1)
	notLeader := &encoder.ConsensusReply{Status: encoder.ConsensusReply_NOT_LEADER}
	select {
	case r.requests <- req:
	case <-ctx.Done():
		return notLeader, nil
	case <-r.ctx.Done():
		return notLeader, nil
	}
	select {
	case reply := <-req.reply:
		return reply, nil
	case <-ctx.Done():
		return nil, &UncertainCommitError{Leader: r.cfg.Self, Reason: ctx.Err().Error()}
	case <-r.ctx.Done():
		return nil, &UncertainCommitError{Leader: r.cfg.Self, Reason: "this host is stopping"}
	}
}

// serveForwarded handles a request that another host forwarded.
func (r *Replicator) serveForwarded(req *request) proto.Message {
	ctx, cancel := context.WithTimeout(r.ctx, defaultRequestTimeout)
	defer cancel()
	reply, err := r.submitToLoop(ctx, req)
	if err != nil {
		return &encoder.ConsensusReply{Status: encoder.ConsensusReply_UNCERTAIN, Leader: r.cfg.Self, Reason: err.Error()}
	}
	return reply
}

func (r *Replicator) onProposeAsk(_ string, m proto.Message) proto.Message {
	ask, ok := m.(*encoder.ProposeAsk)
	if !ok || len(ask.Data) > MaxCommandBytes {
		return &encoder.ConsensusReply{Status: encoder.ConsensusReply_INVALID, Reason: "command is too large"}
	}
	return r.serveForwarded(&request{kind: requestPropose, data: ask.Data})
}

func (r *Replicator) onReadAsk(string, proto.Message) proto.Message {
	return r.serveForwarded(&request{kind: requestRead})
}

func (r *Replicator) onReplaceAsk(_ string, m proto.Message) proto.Message {
	ask, ok := m.(*encoder.ReplaceAsk)
	if !ok {
		return nil
	}
	return r.serveForwarded(&request{kind: requestReplace, oldName: ask.Old, newName: ask.New})
}

// withDefaultTimeout adds defaultRequestTimeout to a context without a deadline.
func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultRequestTimeout)
}

// sleep waits for d and returns true, or returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
