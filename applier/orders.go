package applier

import (
	"maps"

	"sycamorevane.example/sycamorevane"
)

// orderIndex holds the log index of the last command that was decided on each subject: a data centre that commands drain
// and undrain, or a service that they roll out and roll back.
type orderIndex struct {
	// Last holds the index by subject. Commands that changed nothing count as well: the state was as their sender wants it.
	Last map[string]uint64 `json:"last"`
	// Floor is the index for subjects without an entry in Last.
	Floor uint64 `json:"floor,omitempty"`
}

func newOrderIndex() orderIndex { return orderIndex{Last: map[string]uint64{}} }

// subject returns what a command is about, or "" if no other command can take it back.
func subject(c Command) string {
	switch c.Op {
	case OpDrain, OpUndrain:
		if c.Args.DC != "" {
			return dcSubject(c.Args.DC)
		}
	case OpRollout, OpRollback:
		return serviceSubject(c.Args.Service)
	}
	return ""
}

func dcSubject(dc string) string { return "dc " + dc }

func serviceSubject(service string) string { return "service " + service }

// isOutdated reports whether a command on the same subject was decided after the index that the command has seen.
func (o *orderIndex) isOutdated(c Command) bool {
	s := subject(c)
	if s == "" || c.SeenIndex == nil {
		return false
	}
	last, ok := o.Last[s]
	if !ok {
		last = o.Floor
	}
	return last > *c.SeenIndex
}

// record records a decided command. A new configuration removes the subjects that it does not name, so that Last stays
// small.
func (o *orderIndex) record(c Command, d decision, index uint64) {
	if s := subject(c); s != "" && (d.result == ResultApplied || d.result == ResultUnchanged) {
		o.Last[s] = index
	}
	if d.result != ResultApplied || c.Op != OpApply && c.Op != OpConfigure {
		return
	}
	kept := sycamorevane.NewSet[string]()
	for _, dc := range d.newState.Config.DCs {
		kept.Add(dcSubject(dc))
	}
	for _, s := range d.newState.Config.Services {
		kept.Add(serviceSubject(s.Name))
	}
	n := len(o.Last)
	maps.DeleteFunc(o.Last, func(s string, _ uint64) bool { return !kept.Has(s) })
	if len(o.Last) < n {
		o.Floor = index
	}
}
