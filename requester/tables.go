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

// Topics lists the topics that Show can print.
var Topics = []string{"status", "rollouts", "audit", "config", "entries", "members"}

// Show prints a topic as tables or, if raw is set, as the JSON of the response. filter is used by the topic audit only.
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
	if err := printTable(t, topic, data); err != nil {
		return errors.Annotatef(err, "answer on %s", topic)
	}
	return errors.Trace(t.Flush())
}

// showRaw prints the JSON of the response. For the topic entries it prints only the number and the entries of the view.
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

func printTable(w io.Writer, topic string, data []byte) error {
	switch topic {
	case "rollouts":
		return decodeAndPrint(w, data, rolloutsTable)
	case "audit":
		return decodeAndPrint(w, data, auditTable)
	case "config":
		return decodeAndPrint(w, data, configTable)
	case "members":
		return decodeAndPrint(w, data, membersTable)
	case "entries":
		return decodeAndPrint(w, data, entriesTable)
	}
	return decodeAndPrint(w, data, statusTable)
}

func decodeAndPrint[T any](w io.Writer, data []byte, print func(io.Writer, *T)) error {
	var v T
	if err := json.Unmarshal(data, &v); err != nil {
		return errors.Trace(err)
	}
	print(w, &v)
	return nil
}

func writeRow(w io.Writer, cells ...any) {
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
	fmt.Fprintf(w, "view %s of %s, state version %d, leader %s\n\n", v.Number, formatTime(v.Time), v.Version, v.Leader)
	writeRow(w, "DATA CENTRE", "STATE", "SHARE", "CALLS/S", "SERVERS", "REASON")
	for _, d := range v.DCs {
		writeRow(w, d.Name, d.State, percent(d.Share), fmt.Sprintf("%.1f", d.CallsPerSecond), d.Servers, d.Reason)
	}
	fmt.Fprintln(w)
	writeRow(w, "SERVICE", "DATA CENTRE", "STATE", "SHARE", "CALLS/S", "FAILING", "SLOTS", "P50 MS", "P99 MS", "REASON")
	for _, s := range v.Services {
		writeRow(w, s.Name, "all", "", percent(1), fmt.Sprintf("%.1f", s.CallsPerSecond), percent(s.FailureRate), formatSlots(s.BusySlots, s.Slots), s.P50, s.P99, formatShares(s.Versions))
		for _, p := range s.DCs {
			writeRow(w, s.Name, p.DC, p.State, percent(p.Share), fmt.Sprintf("%.1f", p.CallsPerSecond), percent(p.FailureRate), formatSlots(p.BusySlots, p.Slots), p.P50, p.P99, p.Reason)
		}
	}
	fmt.Fprintln(w)
	writeRow(w, "SERVER NOT READY", "SERVICE", "DATA CENTRE", "VERSION", "STATE", "SLOTS", "REASON")
	for _, s := range v.Services {
		for _, p := range s.DCs {
			for _, srv := range p.Servers {
				if srv.State != renderer.StateReady {
					writeRow(w, srv.ID, s.Name, p.DC, srv.Version, srv.State, formatSlots(srv.BusySlots, srv.Slots), srv.Reason)
				}
			}
		}
	}
}

func formatSlots(busy, all int) string { return fmt.Sprintf("%d/%d", busy, all) }

func formatShares(versions []renderer.Version) string {
	var parts []string
	for _, v := range versions {
		parts = append(parts, v.Name+" "+percent(v.Share))
	}
	return strings.Join(parts, ", ")
}

func entriesTable(w io.Writer, v *renderer.View) {
	fmt.Fprintf(w, "view %s of %s\n\n", v.Number, formatTime(v.Time))
	writeRow(w, "ENTRY", "DATA CENTRE", "STATE", "VERSION", "REASON")
	for _, h := range v.Entries {
		writeRow(w, h.Name, h.DC, h.State, h.Version, h.Reason)
	}
}

func rolloutsTable(w io.Writer, a *querier.RolloutsResponse) {
	writeRow(w, "SERVICE", "FROM", "TO", "PHASE", "SHARE", "SEEN", "DEADLINE", "LATE", "BY", "REASON")
	for _, r := range a.Rollouts {
		writeRow(w, r.Service, r.FromVersion, r.ToVersion, r.Phase, percent(r.Share), percent(r.MeasuredShare), formatTime(r.Deadline), r.DeadlineAtRisk, r.Actor, r.Reason)
	}
}

func auditTable(w io.Writer, p *applier.Page) {
	writeRow(w, "NO", "TIME", "WHO", "OP", "WHAT", "OUTCOME", "FROM", "VERSION", "REASON")
	for _, r := range p.Records {
		o := r.Outcome
		writeRow(w, r.Seq, formatTime(r.Time), r.Actor, o.Op, o.Description, o.Result, o.PreviousVersion, o.Version, o.Reason)
	}
	if p.Next > 0 {
		fmt.Fprintf(w, "\nmore with -before %d\n", p.Next)
	}
}

func membersTable(w io.Writer, a *querier.MembersResponse) {
	writeRow(w, "CONTROL HOST", "DATA CENTRE", "ROLE", "ALIVE", "FAULT")
	for _, m := range a.Members {
		writeRow(w, m.Name, m.DC, m.Role, m.Alive, m.Fault)
	}
}

func configTable(w io.Writer, a *querier.ConfigResponse) {
	cfg, err := applier.DecodeConfig(a.Config)
	if err != nil {
		fmt.Fprintf(w, "configuration of version %d could not be read: %v\n", a.Version, err)
		return
	}
	fmt.Fprintf(w, "state version %d\n\n", a.Version)
	writeRow(w, "SERVICE", "HOSTS", "PREFIX", "TIMEOUT", "QUEUE", "RETRY", "PROBE", "CEILING", "ROUTES")
	for _, s := range cfg.Services {
		writeRow(w, s.Name, strings.Join(s.Hosts, ","), s.Prefix, s.Timeout, s.MaxQueued, s.RetryRatio, s.ProbeRatio, s.MaxTrialShare, len(s.Routes))
	}
	fmt.Fprintln(w)
	writeRow(w, "DATA CENTRE", "DRAINED SINCE")
	for _, dc := range cfg.DCs {
		since := ""
		if at, ok := a.Drained.DCs[dc]; ok {
			since = formatTime(at)
		}
		writeRow(w, dc, since)
	}
	fmt.Fprintln(w)
	writeRow(w, "HOST", "DATA CENTRE", "ROLES", "MESH", "CALLER", "OPERATOR")
	for _, h := range cfg.Hosts {
		writeRow(w, h.Name, h.DC, strings.Join(h.Roles.Sorted(), ","), h.MeshAddr, h.CallerAddr, h.OperatorAddr)
	}
	fmt.Fprintln(w)
	writeRow(w, "FIRM", "WEIGHT")
	for _, workspace := range cfg.Workspaces {
		writeRow(w, workspace.Name, workspace.Weight)
	}
}
