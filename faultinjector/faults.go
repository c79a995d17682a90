package faultinjector

import (
	"time"
)

// Faults is the table of faults.
var Faults = []*Fault{
	{
		Name: "server crashes", Invariants: []string{"I2", "I5", "I6", "I7"}, Inject: crashServer,
		MaxRecoveryDuring: 5 * time.Second, MaxRecoveryAfter: 5 * time.Second, HoldTime: time.Second,
	},
	{
		Name: "server slows down ten times", Invariants: []string{"I2", "I5", "I7"}, Inject: slowServer,
		MaxRecoveryDuring: 3 * time.Second, MaxRecoveryAfter: 3 * time.Second, HoldTime: 2 * time.Second,
	},
	{
		Name: "server drains itself", Invariants: []string{"I6", "I8"}, Inject: drainingServer,
		MaxRecoveryDuring: MaxDrainDelay, MaxRecoveryAfter: 3 * time.Second, HoldTime: MaxDrainDelay + time.Second,
	},
	{
		Name: "server drained by an operator", Invariants: []string{"I8", "I10"}, Inject: drainServer,
		MaxRecoveryDuring: MaxDrainDelay, MaxRecoveryAfter: 5 * time.Second, HoldTime: MaxDrainDelay + time.Second,
	},
	{
		Name: "server fails fast", Invariants: []string{"I5", "I7"}, Inject: failFast,
		MaxRecoveryDuring: 5 * time.Second, MaxRecoveryAfter: 5 * time.Second, HoldTime: 2 * time.Second,
	},
	{
		Name: "server turns cold without notice", Invariants: []string{"I2"}, Inject: coldServer,
		// At the default rate, requests rarely run concurrently on a server, cold or not.
		CallsPerSecond:    900,
		MaxRecoveryDuring: 5 * time.Second, MaxRecoveryAfter: 5 * time.Second, HoldTime: 2 * time.Second,
	},
	{
		Name: "server lies about its load", Invariants: []string{"I1", "I2"}, Inject: lyingServer,
		MaxRecoveryDuring: 3 * time.Second, MaxRecoveryAfter: 3 * time.Second, HoldTime: 2 * time.Second,
	},
	{
		Name: "idempotent request crashes servers", Invariants: []string{"I5", "I6"}, Inject: crashingRead,
		MaxRecoveryDuring: 5 * time.Second, MaxRecoveryAfter: 5 * time.Second,
	},
	{
		Name: "change crashes servers", Invariants: []string{"I6", "I7"}, Inject: crashingChange,
		MaxRecoveryDuring: 5 * time.Second, MaxRecoveryAfter: 5 * time.Second,
	},
	{
		Name: "entry killed", Invariants: []string{"I5", "I6", "I7", "I10"}, Inject: killEntry,
		MaxRecoveryDuring: 5 * time.Second, MaxRecoveryAfter: MaxConfigDelay, HoldTime: time.Second,
	},
	{
		Name: "entry stopped gracefully", Invariants: []string{"I9"}, Inject: stopEntry,
		MaxRecoveryDuring: 5 * time.Second, MaxRecoveryAfter: MaxConfigDelay, HoldTime: time.Second,
	},
	{
		Name: "entry cut off", Invariants: []string{"I3", "I6", "I10"}, Inject: cutEntry,
		MaxRecoveryDuring: 5 * time.Second, MaxRecoveryAfter: MaxConfigDelay, HoldTime: maxWithdrawDelay + time.Second,
	},
	{
		Name: "control leader killed", Invariants: []string{"I10"}, Inject: killLeader, DisruptsControl: true,
		MaxRecoveryDuring: MaxConfigDelay, MaxRecoveryAfter: MaxConfigDelay, HoldTime: 500 * time.Millisecond,
	},
	{
		Name: "control leader cut off and returned", Invariants: []string{"I10"}, Inject: cutLeader, DisruptsControl: true,
		MaxRecoveryDuring: MaxConfigDelay, MaxRecoveryAfter: MaxConfigDelay, HoldTime: 5 * time.Second,
	},
	{
		Name: "second control host lost after a repair", Invariants: []string{"I10"}, Inject: loseSecondControl,
		DisruptsControl:   true,
		MaxRecoveryDuring: MaxConfigDelay, MaxRecoveryAfter: MaxConfigDelay, HoldTime: 500 * time.Millisecond,
		NeedsControlQuorum: true,
	},
	{
		Name: "all control hosts restarted after 500 changes", Invariants: []string{"I10"}, Inject: restartControl, DisruptsControl: true,
		MaxRecoveryDuring: MaxConfigDelay, MaxRecoveryAfter: MaxConfigDelay,
	},
	{
		Name: "operators race", Invariants: []string{"I10"}, Inject: raceOperators,
		MaxRecoveryDuring: MaxConfigDelay, MaxRecoveryAfter: MaxConfigDelay,
	},
	{
		Name: "data centre out and back", Invariants: []string{"I3", "I10"}, Inject: drainDC,
		MaxRecoveryDuring: MaxDrainDelay, MaxRecoveryAfter: 5 * time.Second, HoldTime: MaxDrainDelay + time.Second,
	},
	{
		Name: "connections go silent", Invariants: []string{"I5", "I7"}, Inject: silenceConnections, UsesRelay: true,
		MaxRecoveryDuring: 5 * time.Second, MaxRecoveryAfter: 3 * time.Second, HoldTime: 3 * time.Second,
	},
	{
		Name: "mesh split", Invariants: []string{"I5", "I6", "I7", "I10"}, Inject: splitMesh, DisruptsControl: true,
		MaxRecoveryDuring: MaxConfigDelay, MaxRecoveryAfter: MaxConfigDelay, HoldTime: maxWithdrawDelay + time.Second,
	},
	{
		Name: "entry stopped while requests wait", Invariants: []string{"I6", "I9"}, Inject: stopLoadedEntry, Alone: true,
		MaxRecoveryDuring: 5 * time.Second, MaxRecoveryAfter: MaxConfigDelay,
	},
	{
		Name: "entries of a data centre stopped while requests wait", Invariants: []string{"I6", "I9"}, Inject: stopLoadedDC, Alone: true,
		MaxRecoveryDuring: 5 * time.Second, MaxRecoveryAfter: MaxConfigDelay,
	},
	{
		Name: "entry cut off and stopped while requests wait", Invariants: []string{"I6", "I9"}, Inject: stopCutOffEntry, Alone: true,
		MaxRecoveryDuring: 5 * time.Second, MaxRecoveryAfter: MaxConfigDelay,
	},
}
