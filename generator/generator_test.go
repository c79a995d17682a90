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

func askFile(t *testing.T, answersFile string) (string, error) {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "out")
	return folder, Ask(Config{Out: io.Discard, AnswersFile: answersFile, OutputDir: folder})
}

func readFile(t *testing.T, parts ...string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(parts...))
	require.NoError(t, err)
	return string(data)
}

// requireMode checks the permissions of a file, since other users of the host must not read secrets.
func requireMode(t *testing.T, mode os.FileMode, parts ...string) {
	t.Helper()
	info, err := os.Stat(filepath.Join(parts...))
	require.NoError(t, err)
	require.Equal(t, mode, info.Mode().Perm(), filepath.Join(parts...))
}

// TestExamples guards against example answer files whose output a host would reject at its start, and against plain-text
// tokens in files other than operators.txt.
func TestExamples(t *testing.T) {
	cases := map[string]struct{ services, workspaces, control, tokens int }{
		"fenmoor":   {2, 2, 3, 2},
		"trailmark": {2, 4, 5, 8},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			folder, err := askFile(t, filepath.Join("..", "examples", name+".ini"))
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
			tokens := readTokens(t, folder)
			require.Len(t, tokens, tc.tokens)
			requireSettings(t, folder, c, tokens)
			requireMode(t, folderMode, folder)
			requireMode(t, secretMode, folder, tokensName)
		})
	}
}

func readTokens(t *testing.T, folder string) map[string]string {
	t.Helper()
	tokens := make(map[string]string)
	for _, line := range strings.Split(readFile(t, folder, tokensName), "\n") {
		if f := strings.Fields(line); len(f) == 3 {
			tokens[f[0]+" "+f[1]] = f[2]
		}
	}
	return tokens
}

func requireSettings(t *testing.T, folder string, c *sycamorevane.Config, tokens map[string]string) {
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
			require.NotContains(t, readFile(t, name), token)
		}
		requireMode(t, secretMode, name)
	}
	require.Len(t, keys, 1, "all hosts have the same cluster key")
	for _, token := range tokens {
		require.NotContains(t, readFile(t, folder, configName), token)
	}
}

// TestRefusedAnswers guards against accepting answers that a host would reject, and against error messages without the
// question, the value and the accepted range.
func TestRefusedAnswers(t *testing.T) {
	valid := readFile(t, "..", "examples", "fenmoor.ini")
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
			require.Contains(t, valid, tc.from)
			answersFile := filepath.Join(t.TempDir(), "answers.ini")
			require.NoError(t, os.WriteFile(answersFile, []byte(strings.Replace(valid, tc.from, tc.to, 1)), 0o600))
			folder, err := askFile(t, answersFile)
			var faults parser.Faults
			require.True(t, errors.As(err, &faults), "got %v", err)
			f := faults[0]
			require.Equal(t, []string{answersFile, tc.section, tc.key}, []string{f.File, f.Section, f.Key}, "%v", err)
			require.Contains(t, f.Reason, tc.reason)
			require.NoDirExists(t, folder, "nothing is written")
		})
	}
}

// typedAnswers are the answers for a small deployment in the order of the questions; an empty line selects the default.
var typedAnswers = strings.Join([]string{
	"north", "10.0.0.1, 10.0.0.2, 10.0.0.3", "", "all", "", // data centres, hosts, entries, disks, control
	"70000", "7100", "", "", "", // ports, the first is invalid
	"one, two", "", "", "", "yes", // workspaces: weight, token
	"web", "", "", "", "", "7", "", "", "", "", "1 MiB", "", "", // service, the first retry ratio is invalid
	"300s", "2s", "", "", "", // limits, the first lease is invalid
	"alice", "",
}, "\n")

// TestTerminal guards against an invalid answer at the terminal that is accepted or ends the questionnaire.
func TestTerminal(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "out")
	out := &bytes.Buffer{}
	require.NoError(t, Ask(Config{In: strings.NewReader(typedAnswers), Out: out, OutputDir: folder}), out)
	require.Contains(t, out.String(), `[ports] mesh = "70000": must be a port number from 1 to 65535`)
	require.Contains(t, out.String(), `[limits] lease = "300s"`)
	c, err := parser.LoadConfig(filepath.Join(folder, configName))
	require.NoError(t, err, out)
	require.Equal(t, "10.0.0.2:7100", c.Host("north-2").MeshAddr)
	require.Len(t, c.Workspaces[1].Credentials, 1)
	require.Len(t, c.HostsWith(sycamorevane.RoleControl), 3)

	err = Ask(Config{In: strings.NewReader("north\n"), Out: io.Discard, OutputDir: filepath.Join(t.TempDir(), "out")})
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// TestFolderIsNotOverwritten guards against overwriting the settings with the cluster key that hosts already use.
func TestFolderIsNotOverwritten(t *testing.T) {
	folder := t.TempDir()
	answers := filepath.Join("..", "examples", "fenmoor.ini")
	require.NoError(t, Ask(Config{Out: io.Discard, AnswersFile: answers, OutputDir: folder}))
	before := readFile(t, folder, tokensName)
	require.Error(t, Ask(Config{Out: io.Discard, AnswersFile: answers, OutputDir: folder}))
	require.Equal(t, before, readFile(t, folder, tokensName))
}
