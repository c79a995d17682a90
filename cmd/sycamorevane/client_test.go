package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

// receivedRequest is the last request that the fake control host received.
type receivedRequest struct {
	path, token, body string
}

func newFakeControl(t *testing.T) *receivedRequest {
	received := &receivedRequest{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		*received = receivedRequest{path: r.URL.RequestURI(), token: r.Header.Get("Authorization"), body: string(body)}
		_, _ = io.WriteString(w, `{"id":"7","op":"drain","what":"dc=a","outcome":"applied","version":2}`)
	}))
	t.Cleanup(server.Close)
	t.Setenv("SYCAMOREVANE_CONTROL", server.URL)
	t.Setenv("SYCAMOREVANE_TOKEN", "quarry-lantern")
	return received
}

func parseStub(file string) (*sycamorevane.Config, error) {
	if file != "good.ini" {
		return nil, &sycamorevane.ConfigError{File: file, Section: "limits", Key: "lease", Reason: "missing"}
	}
	return &sycamorevane.Config{DCs: []string{"a"}}, nil
}

// TestDo guards against sending a command that differs from the command line.
func TestDo(t *testing.T) {
	received := newFakeControl(t)
	tests := []struct{ line, op, args, extra string }{
		{"apply good.ini -force", "apply", `{"config":{"dcs":["a"],"firms":null,"hosts":null,"limits":{"header":0,"lease":0,"retention":0,"ttl":0},"services":null},"force":true}`, ""},
		{"drain -dc a", "drain", `{"dc":"a"}`, ""},
		{"drain -dc a -force -if 0", "drain", `{"dc":"a","force":true}`, `"if":0`},
		{"drain -server s1 -id 7", "drain", `{"server":"s1"}`, `"id":"7"`},
		{"undrain -dc a", "undrain", `{"dc":"a"}`, ""},
		{"undrain -server s1", "undrain", `{"server":"s1"}`, ""},
		{"rollout flagboard -to v2 -by 90s", "rollout", `{"service":"flagboard","to":"v2","by":90000}`, ""},
		{"rollout -to v2 -by 90s flagboard", "rollout", `{"service":"flagboard","to":"v2","by":90000}`, ""},
		{"rollback flagboard", "rollback", `{"service":"flagboard"}`, ""},
		{"replace -host h1 -with h4", "replace", `{"host":"h1","with":"h4"}`, ""},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		require.NoError(t, doCommand(&out, parseStub).ParseAndRun(t.Context(), strings.Fields(tt.line)), tt.line)
		require.Contains(t, out.String(), "applied: drain dc=a")
		var body struct {
			ID   string
			Op   string
			Args json.RawMessage
		}
		require.NoError(t, json.Unmarshal([]byte(received.body), &body))
		require.Equal(t, tt.op, body.Op, tt.line)
		require.JSONEq(t, tt.args, string(body.Args), tt.line)
		require.NotEmpty(t, body.ID)
		require.Contains(t, received.body, tt.extra)
		require.Equal(t, "Bearer quarry-lantern", received.token)
	}
}

// TestDoRefusals guards against sending commands for incomplete or invalid command lines.
func TestDoRefusals(t *testing.T) {
	received := newFakeControl(t)
	for _, line := range []string{
		"", "explode", "drain", "drain -dc a -server s", "drain a", "drain -dc a extra", "apply", "apply bad.ini",
		"rollout flagboard -to v2", "rollout flagboard -by 1m", "rollout -to v2 -by 1m", "rollout flagboard -to v2 -by -1m",
		"rollback", "replace -host h1", "undrain", "drain -dc a -unknown",
	} {
		cmd := doCommand(io.Discard, parseStub)
		for _, sub := range cmd.Subcommands {
			sub.FlagSet.SetOutput(io.Discard)
		}
		require.Error(t, cmd.ParseAndRun(t.Context(), strings.Fields(line)), line)
		require.Empty(t, received.body, line)
	}
}

// TestShow guards against filters that are not sent, and against tokens that are not read from a file, which keeps them
// out of the process list.
func TestShow(t *testing.T) {
	received := newFakeControl(t)
	file := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(file, []byte("from-file\n"), 0o600))
	run := func(line string) {
		require.NoError(t, showCommand(io.Discard).ParseAndRun(t.Context(), strings.Fields(line)), line)
	}
	run(fmt.Sprintf("audit -op drain -limit 5 -json -token @%s", file))
	require.Equal(t, "/v1/audit?limit=5&op=drain", received.path)
	require.Equal(t, "Bearer from-file", received.token)
	for topic, path := range map[string]string{"status": "/v1/status", "entries": "/v1/status", "members": "/v1/members", "rollouts": "/v1/rollouts", "config": "/v1/config"} {
		run(topic + " -json")
		require.Equal(t, path, received.path)
	}
}
