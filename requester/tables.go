package requester

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/querier"
	"sycamorevane.example/sycamorevane/renderer"
)

// Topics are what Show can print.
var Topics = []string{"status", "rollouts", "audit", "config", "entries", "members"}

// Show prints one topic as tables, or with raw as the JSON that control sent. The filter is used for audit only.
func (c *Client) Show(ctx context.Context, w io.Writer, topic string, filter url.Values, raw bool) error {
	path, ok := map[string]string{
		"status": "/v1/status", "entries": "/v1/status", "rollouts": "/v1/rollouts",
		"audit": "/v1/audit", "config": "/v1/config", "members": "/v1/members",
	}[topic]
	if !ok {
		return errors.Errorf("unknown topic %q; topics are %s", topic, strings.Join(Topics, ", "))
	}
	if topic == "audit" && len(filter) > 0 {
		path += "?" + filter.Encode()
	}
	data, err := c.Query(ctx, path)
	if err != nil {
		return errors.Trace(err)
	}
	if raw {
		return showRaw(w, topic, data)
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	if err := table(t, topic, data); err != nil {
		return errors.Annotatef(err, "answer on %s", topic)
	}
	return errors.Trace(t.Flush())
}

// showRaw prints what control sent; of the view, entries prints only its part.
func showRaw(w io.Writer, topic string, data []byte) error {
	if topic == "entries" {
		var v struct {
			Number  string          `json:"number"`
			Entries json.RawMessage `json:"entries"`
		}
		if err := json.Unmarshal(data, &v); err != nil {
			return errors.Trace(err)
		}
		part, err := json.Marshal(v)
		if err != nil {
			return errors.Trace(err)
		}
		data = append(part, '\n')
	}
	_, err := w.Write(data)
	return errors.Trace(err)
}

func table(w io.Writer, topic string, data []byte) error {
	switch topic {
	case "rollouts":
		return decoded(w, data, rolloutsTable)
	case "audit":
		return decoded(w, data, auditTable)
	case "config":
		return decoded(w, data, configTable)
	case "members":
		return decoded(w, data, membersTable)
	case "entries":
		return decoded(w, data, entriesTable)
	}
	return decoded(w, data, statusTable)
}

func decoded[T any](w io.Writer, data []byte, print func(io.Writer, *T)) error {
	var v T
	if err := json.Unmarshal(data, &v); err != nil {
		return errors.Trace(err)
	}
	print(w, &v)
	return nil
}

func row(w io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, cell)
	}
	fmt.Fprintln(w)
}

func percent(x float64) string { return fmt.Sprintf("%.1f%%", x*100) }

func statusTable(w io.Writer, v *renderer.View) {
	fmt.Fprintf(w, "view %s of %s, state version %d, leader %s\n\n", v.Number, stamp(v.Time), v.Version, v.Leader)
	row(w, "DATA CENTRE", "STATE", "SHARE", "CALLS/S", "SERVERS", "REASON")
	for _, d := range v.DCs {
		row(w, d.Name, d.State, percent(d.Share), fmt.Sprintf("%.1f", d.Rate), d.Servers, d.Reason)
	}
	fmt.Fprintln(w)
	row(w, "SERVICE", "DATA CENTRE", "STATE", "SHARE", "CALLS/S", "FAILING", "SLOTS", "P50 MS", "P99 MS", "REASON")
	for _, s := range v.Services {
		row(w, s.Name, "all", "", percent(1), fmt.Sprintf("%.1f", s.Rate), percent(s.Failing), slots(s.BusySlots, s.Slots), s.P50, s.P99, shares(s.Versions))
		for _, p := range s.DCs {
			row(w, s.Name, p.DC, p.State, percent(p.Share), fmt.Sprintf("%.1f", p.Rate), percent(p.Failing), slots(p.BusySlots, p.Slots), p.P50, p.P99, p.Reason)
		}
	}
	fmt.Fprintln(w)
	row(w, "SERVER NOT READY", "SERVICE", "DATA CENTRE", "VERSION", "STATE", "SLOTS", "REASON")
	for _, s := range v.Services {
		for _, p := range s.DCs {
			for _, srv := range p.Servers {
				if srv.State != renderer.StateReady {
					row(w, srv.ID, s.Name, p.DC, srv.Version, srv.State, slots(srv.BusySlots, srv.Slots), srv.Reason)
				}
			}
		}
	}
}

func slots(use, all int) string { return fmt.Sprintf("%d/%d", use, all) }

func shares(versions []renderer.Version) string {
	var parts []string
	for _, v := range versions {
		parts = append(parts, v.Name+" "+percent(v.Share))
	}
	return strings.Join(parts, ", ")
}

func entriesTable(w io.Writer, v *renderer.View) {
	fmt.Fprintf(w, "view %s of %s\n\n", v.Number, stamp(v.Time))
	row(w, "ENTRY", "DATA CENTRE", "STATE", "VERSION", "REASON")
	for _, h := range v.Entries {
		row(w, h.Name, h.DC, h.State, h.Version, h.Reason)
	}
}

func rolloutsTable(w io.Writer, a *querier.RolloutsResponse) {
	row(w, "SERVICE", "FROM", "TO", "PHASE", "SHARE", "SEEN", "DEADLINE", "LATE", "BY", "REASON")
	for _, r := range a.Rollouts {
		row(w, r.Service, r.FromVersion, r.ToVersion, r.Phase, percent(r.Share), percent(r.MeasuredShare), stamp(r.Deadline), r.DeadlineAtRisk, r.Actor, r.Reason)
	}
}

func auditTable(w io.Writer, p *applier.Page) {
	row(w, "NO", "TIME", "WHO", "OP", "WHAT", "OUTCOME", "FROM", "VERSION", "REASON")
	for _, r := range p.Records {
		o := r.Outcome
		row(w, r.Seq, stamp(r.Time), r.Actor, o.Op, o.Description, o.Result, o.PreviousVersion, o.Version, o.Reason)
	}
	if p.Next > 0 {
		fmt.Fprintf(w, "\nmore with -before %d\n", p.Next)
	}
}

func membersTable(w io.Writer, a *querier.MembersResponse) {
	row(w, "CONTROL HOST", "DATA CENTRE", "ROLE", "ALIVE", "FAULT")
	for _, m := range a.Members {
		row(w, m.Name, m.DC, m.Role, m.Alive, m.Fault)
	}
}

func configTable(w io.Writer, a *querier.ConfigResponse) {
	cfg, err := applier.DecodeConfig(a.Config)
	if err != nil {
		fmt.Fprintf(w, "configuration of version %d could not be read: %v\n", a.Version, err)
		return
	}
	fmt.Fprintf(w, "state version %d\n\n", a.Version)
	row(w, "SERVICE", "HOSTS", "PREFIX", "TIMEOUT", "QUEUE", "RETRY", "PROBE", "CEILING", "ROUTES")
	for _, s := range cfg.Services {
		row(w, s.Name, strings.Join(s.Hosts, ","), s.Prefix, s.Timeout, s.MaxQueued, s.RetryRatio, s.ProbeRatio, s.MaxTrialShare, len(s.Routes))
	}
	fmt.Fprintln(w)
	row(w, "DATA CENTRE", "DRAINED SINCE")
	for _, dc := range cfg.DCs {
		since := ""
		if at, ok := a.Drained.DCs[dc]; ok {
			since = stamp(at)
		}
		row(w, dc, since)
	}
	fmt.Fprintln(w)
	row(w, "HOST", "DATA CENTRE", "ROLES", "MESH", "CALLER", "OPERATOR")
	for _, h := range cfg.Hosts {
		row(w, h.Name, h.DC, strings.Join(h.Roles.Sorted(), ","), h.MeshAddr, h.CallerAddr, h.OperatorAddr)
	}
	fmt.Fprintln(w)
	row(w, "FIRM", "WEIGHT")
	for _, f := range cfg.Workspaces {
		row(w, f.Name, f.Weight)
	}
}
