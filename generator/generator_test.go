package generator

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/parser"
)

func ask(t *testing.T, answers string) (string, error) {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "out")
	return folder, Ask(Config{Out: io.Discard, Answers: answers, Folder: folder})
}

func read(t *testing.T, parts ...string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(parts...))
	require.NoError(t, err)
	return string(data)
}

// expectMode guards secrets against other users of the host.
func expectMode(t *testing.T, mode os.FileMode, parts ...string) {
	t.Helper()
	info, err := os.Stat(filepath.Join(parts...))
	require.NoError(t, err)
	require.Equal(t, mode, info.Mode().Perm(), filepath.Join(parts...))
}

// TestExamples guards against answer files of the two deployments whose output a host would refuse at its start,
// and against tokens in clear outside of the operator file.
func TestExamples(t *testing.T) {
	cases := map[string]struct{ services, workspaces, control, tokens int }{
		"fenmoor":   {2, 2, 3, 2},
		"trailmark": {2, 4, 5, 8},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			folder, err := ask(t, filepath.Join("..", "examples", name+".ini"))
			require.NoError(t, err)
			c, err := parser.LoadConfig(filepath.Join(folder, configName))
			require.NoError(t, err)
			require.Len(t, c.Services, tc.services)
			require.Len(t, c.Workspaces, tc.workspaces)
			require.Len(t, c.DCs, 3)
			require.Len(t, c.HostsWith(sycamorevane.RoleEntry), 16)
			require.Len(t, c.HostsWith(sycamorevane.RoleControl), tc.control)
			for _, s := range c.Services {
				require.NotEmpty(t, s.Routes)
				r := s.Route(s.Routes[0].Method, s.Routes[0].Prefix+"/1")
				require.False(t, r.Idempotent, "requests that must run at most once")
			}
			tokens := tokensOf(t, folder)
			require.Len(t, tokens, tc.tokens)
			expectSettings(t, folder, c, tokens)
			expectMode(t, folderMode, folder)
			expectMode(t, secretMode, folder, tokensName)
		})
	}
}

func tokensOf(t *testing.T, folder string) map[string]string {
	t.Helper()
	tokens := make(map[string]string)
	for _, line := range strings.Split(read(t, folder, tokensName), "\n") {
		if f := strings.Fields(line); len(f) == 3 {
			tokens[f[0]+" "+f[1]] = f[2]
		}
	}
	return tokens
}

func expectSettings(t *testing.T, folder string, c *sycamorevane.Config, tokens map[string]string) {
	t.Helper()
	keys := sycamorevane.NewSet[string]()
	for _, h := range c.Hosts {
		name := filepath.Join(folder, hostsName, h.Name+".ini")
		s, err := parser.LoadSettings(name)
		require.NoError(t, err)
		keys.Add(s.Key)
		require.Len(t, s.ControlHosts, len(c.HostsWith(sycamorevane.RoleControl)))
		require.Equal(t, h.Roles.Has(sycamorevane.RoleEntry), s.Entry != nil)
		require.Equal(t, h.Roles.Has(sycamorevane.RoleControl), s.Control != nil)
		if s.Control != nil {
			for who, stored := range s.Control.Operators {
				require.Equal(t, digest(tokens["operator "+who]), stored)
			}
		}
		for _, token := range tokens {
			require.NotContains(t, read(t, name), token)
		}
		expectMode(t, secretMode, name)
	}
	require.Len(t, keys, 1, "all hosts have the same cluster key")
	for _, token := range tokens {
		require.NotContains(t, read(t, folder, configName), token)
	}
}

// TestRefusedAnswers guards against answers that are accepted although a host would refuse them, and against
// refusals that do not name the question, the value and the accepted range.
func TestRefusedAnswers(t *testing.T) {
	good := read(t, "..", "examples", "fenmoor.ini")
	cases := map[string]struct{ from, to, section, key, reason string }{
		"retry share":       {"timeout = 2s", "retry = 2", "service flagboard", "retry", "from 0 to 1"},
		"ceiling":           {"timeout = 2s", "ceiling = 0.9", "service flagboard", "ceiling", "from 0.001 to 0.5"},
		"timeout":           {"timeout = 2s", "timeout = 2", "service flagboard", "timeout", "10ms to 10m"},
		"body":              {"body = 64 KiB", "body = 64 kilobytes", "service flagboard", "body", "0 B to 1024 GiB"},
		"weight":            {"weight = 3", "weight = 0", "firm pond-watch", "weight", "1 to 1000"},
		"route":             {"raise POST /flags/raise", "raise /flags/raise", "service flagboard", "once", "NAME METHOD PREFIX"},
		"reserved path":     {"raise POST /flags/raise", "raise POST /.vane/x", "service flagboard", "once", "not with /.vane"},
		"name":              {"names = pond-watch", "names = Pond Watch", "firms", "names", "lower-case"},
		"name with bracket": {"names = pond-watch", "names = pond]watch", "firms", "names", ""},
		"two control hosts": {"control = midlands-a-1, ", "control = ", "hosts", "control", "3 or 5"},
		"control in one data centre": {
			"control = midlands-a-1, midlands-b-1", "control = midlands-a-1, midlands-a-2", "hosts", "control", "more than 1 of 3",
		},
		"control without disk":    {"midlands-c-1, midlands-a-2\n", "midlands-a-2\n", "hosts", "control", "not one of"},
		"host without task":       {"entries = all", "entries = midlands-a-1", "hosts", "entries", "neither callers nor control"},
		"address":                 {"10.20.1.11", "10.20.1.256", "dc midlands-a", "hosts", "IP number"},
		"address twice":           {"10.20.2.11", "10.20.1.11", "dc midlands-b", "hosts", "already belongs"},
		"host header twice":       {"hosts = corestore,", "hosts = flagboard,", "service corestore", "hosts", "already selects"},
		"misspelt question":       {"weight = 3", "wieght = 3", "firm pond-watch", "wieght", "known are weight, token"},
		"misspelt section":        {"[firm pond-watch]", "[firm pond-wach]", "firm pond-wach", "", "known are"},
		"answered twice":          {"weight = 3", "weight = 3\nweight = 4", "firm pond-watch", "weight", "more than once"},
		"no answer":               {"names = day-lead, deputy", "", "operators", "names", "an answer is needed"},
		"port":                    {"[firms]", "[ports]\nmesh = 70000\n[firms]", "ports", "mesh", "1 to 65535"},
		"same port for two tasks": {"[firms]", "[ports]\nmesh = 8080\n[firms]", "host midlands-a-1", "caller", "already belongs"},
		"lease":                   {"[firms]", "[limits]\nlease = 1m\n[firms]", "limits", "lease", "500ms to 3s"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, good, tc.from)
			answers := filepath.Join(t.TempDir(), "answers.ini")
			require.NoError(t, os.WriteFile(answers, []byte(strings.Replace(good, tc.from, tc.to, 1)), 0o600))
			folder, err := ask(t, answers)
			var faults parser.Faults
			require.True(t, errors.As(err, &faults), "got %v", err)
			f := faults[0]
			require.Equal(t, []string{answers, tc.section, tc.key}, []string{f.File, f.Section, f.Key}, "%v", err)
			require.Contains(t, f.Reason, tc.reason)
			require.NoDirExists(t, folder, "nothing is written")
		})
	}
}

// typed are the answers of a small deployment in the order of the questions; an empty line takes the suggestion.
var typed = strings.Join([]string{
	"north", "10.0.0.1, 10.0.0.2, 10.0.0.3", "", "all", "", // data centres, hosts, entries, disks, control
	"70000", "7100", "", "", "", // ports, the first is refused
	"one, two", "", "", "", "yes", // workspaces: weight, token
	"web", "", "", "", "", "7", "", "", "", "", "1 MiB", "", "", // service, the retry share is refused
	"300s", "2s", "", "", "", // limits, the lease is refused
	"alice", "",
}, "\n")

// TestTerminal guards against a refused answer at the terminal that ends the questionnaire or is taken.
func TestTerminal(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "out")
	out := &bytes.Buffer{}
	require.NoError(t, Ask(Config{In: strings.NewReader(typed), Out: out, Folder: folder}), out)
	require.Contains(t, out.String(), `[ports] mesh = "70000": must be a port number from 1 to 65535`)
	require.Contains(t, out.String(), `[limits] lease = "300s"`)
	c, err := parser.LoadConfig(filepath.Join(folder, configName))
	require.NoError(t, err, out)
	require.Equal(t, "10.0.0.2:7100", c.Host("north-2").MeshAddr)
	require.Len(t, c.Workspaces[1].Credentials, 1)
	require.Len(t, c.HostsWith(sycamorevane.RoleControl), 3)

	err = Ask(Config{In: strings.NewReader("north\n"), Out: io.Discard, Folder: filepath.Join(t.TempDir(), "out")})
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// TestFolderIsNotOverwritten guards against a new cluster key in place of the one that hosts already use.
func TestFolderIsNotOverwritten(t *testing.T) {
	folder := t.TempDir()
	answers := filepath.Join("..", "examples", "fenmoor.ini")
	require.NoError(t, Ask(Config{Out: io.Discard, Answers: answers, Folder: folder}))
	before := read(t, folder, tokensName)
	require.Error(t, Ask(Config{Out: io.Discard, Answers: answers, Folder: folder}))
	require.Equal(t, before, read(t, folder, tokensName))
}
