package main

import (
	"context"
	"flag"
	"io"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sycamorevane.example/sycamorevane/requester"
)

var topicHelp = map[string]string{
	"status":   "traffic by data centre, service and version, with reasons",
	"rollouts": "rollouts with phase, share and deadline",
	"audit":    "who changed what, when, from which version",
	"config":   "the configuration in force",
	"entries":  "entries with their state",
	"members":  "control hosts with their roles",
}

// auditFilters are the flags of `show audit` with their help texts. Each sets the query parameter of the same name.
var auditFilters = map[string]string{
	"actor": "operator", "op": "operation, for example drain", "outcome": "applied, unchanged, conflict or refused",
	"id": "command id", "what": "part of the description, for example a data centre", "version": "resulting state version",
	"since": "earliest time in Unix ms", "until": "latest time in Unix ms",
	"before": "only records with a smaller sequence number, for the next page", "limit": "records per page",
}

// showCommand returns the command `show`.
func showCommand(out io.Writer) *ffcli.Command {
	var subs []*ffcli.Command
	for _, topic := range requester.Topics {
		subs = append(subs, topicCommand(out, topic))
	}
	return group("show", "show status, rollouts, audit trail, configuration and hosts", subs...)
}

func topicCommand(out io.Writer, topic string) *ffcli.Command {
	f := &clientFlags{}
	fs := flag.NewFlagSet(topic, flag.ContinueOnError)
	f.register(fs)
	filter := url.Values{}
	if topic == "audit" {
		for name, help := range auditFilters {
			fs.Func(name, help, func(value string) error {
				filter.Set(name, value)
				return nil
			})
		}
	}
	return leaf(topic, "show "+topic+" [-json]", topicHelp[topic], fs, 0, func(ctx context.Context, _ []string) error {
		c, err := f.client()
		if err != nil {
			return err
		}
		return c.Show(ctx, out, topic, filter, f.json)
	})
}
