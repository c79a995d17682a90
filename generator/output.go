package generator

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/parser"
)

// Names and modes of the output files. Settings contain the cluster key, so only the file's owner may read them.
const (
	configName  = "config.ini"
	hostsName   = "hosts"
	tokensName  = "operators.txt"
	folderMode  = 0o700
	publicMode  = 0o644
	secretMode  = 0o600
	secretBytes = 32
)

// file is one output file; its name is relative to the output folder.
type file struct {
	name string
	mode os.FileMode
	data []byte
}

// newSecret returns a random secret without characters that are special in INI files or shells.
func newSecret() string {
	b := make([]byte, secretBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b)
	return base64.RawURLEncoding.EncodeToString(b)
}

func digest(token string) string {
	d := sha256.Sum256([]byte(token))
	return hex.EncodeToString(d[:])
}

// render generates the tokens and the cluster key and returns the output files. The parser validates the configuration and
// the settings. Errors in the configuration name source as the file.
func (d *deployment) render(source string) ([]file, error) {
	tokens := &bytes.Buffer{}
	fmt.Fprintln(tokens, "# Tokens in clear. Hand them over, then delete this file; only their digests are stored elsewhere.")
	for i := range d.workspaces {
		_, name, _ := strings.Cut(d.workspaces[i].name, " ")
		if slices.Contains(d.workspacesWithToken, name) {
			token := newSecret()
			fmt.Fprintf(tokens, "firm %s %s\n", name, token)
			d.workspaces[i].set("credentials", digest(token))
		}
	}
	operators := make(map[string]string)
	for _, name := range d.operators {
		token := newSecret()
		fmt.Fprintf(tokens, "operator %s %s\n", name, token)
		operators[name] = digest(token)
	}
	c, err := parser.ParseConfig(source, d.config())
	if err != nil {
		return nil, err
	}
	files := []file{
		{configName, publicMode, parser.FormatConfig(c)},
		{tokensName, secretMode, tokens.Bytes()},
	}
	key := newSecret()
	for _, h := range c.Hosts {
		f := file{filepath.Join(hostsName, h.Name+".ini"), secretMode, parser.FormatSettings(settings(c, h, key, operators))}
		if _, err := parser.ParseSettings(f.name, f.data); err != nil {
			return nil, err
		}
		files = append(files, f)
	}
	return files, nil
}

// config returns the configuration file built from the answers, for the parser to validate as a whole.
func (d *deployment) config() []byte {
	b := &bytes.Buffer{}
	d.limits.write(b)
	for _, dc := range d.dcs {
		fmt.Fprintf(b, "[dc %s]\n", dc)
	}
	for _, s := range slices.Concat(d.workspaces, d.services) {
		s.write(b)
	}
	for _, h := range d.hosts {
		d.writeHost(b, h)
	}
	return b.Bytes()
}

func (s section) write(b *bytes.Buffer) {
	fmt.Fprintf(b, "[%s]\n", s.name)
	for _, k := range s.keys {
		fmt.Fprintf(b, "%s = %s\n", k, s.values[k])
	}
	_, service, _ := strings.Cut(s.name, " ")
	for _, r := range s.routes {
		fmt.Fprintf(b, "[route %s/%s]\nmethod = %s\nprefix = %s\nidempotent = %t\n", service, r.name, r.method, r.prefix, r.idempotent)
	}
}

func (d *deployment) writeHost(b *bytes.Buffer, h host) {
	var roles []string
	writeAddr := func(key string) { fmt.Fprintf(b, "%s = %s\n", key, net.JoinHostPort(h.addr, d.ports[key])) }
	fmt.Fprintf(b, "[host %s]\ndc = %s\n", h.name, h.dc)
	writeAddr("mesh")
	if h.entry {
		roles = append(roles, sycamorevane.RoleEntry)
		writeAddr("caller")
		writeAddr("announce")
	}
	if h.control {
		roles = append(roles, sycamorevane.RoleControl)
		writeAddr("operator")
	}
	fmt.Fprintf(b, "roles = %s\n", strings.Join(roles, ", "))
}

func settings(c *sycamorevane.Config, h sycamorevane.Host, key string, operators map[string]string) *parser.Settings {
	s := &parser.Settings{Name: h.Name, DC: h.DC, MeshAddr: h.MeshAddr, Key: key}
	for _, name := range c.HostsWith(sycamorevane.RoleControl) {
		s.ControlHosts = append(s.ControlHosts, parser.Contact{Name: name, Addr: c.Host(name).MeshAddr})
	}
	if h.Roles.Has(sycamorevane.RoleEntry) {
		s.Entry = &parser.EntrySettings{CallerAddr: h.CallerAddr, AnnounceAddr: h.AnnounceAddr}
	}
	if h.Roles.Has(sycamorevane.RoleControl) {
		s.Control = &parser.ControlSettings{DataDir: "data-" + h.Name, OperatorAddr: h.OperatorAddr, Operators: operators}
	}
	return s
}

func checkOutputFolder(folder string) error {
	entries, err := os.ReadDir(folder)
	if err != nil && !os.IsNotExist(err) {
		return errors.Annotatef(err, "output folder %q", folder)
	}
	if len(entries) > 0 {
		return errors.AlreadyExistsf("output folder %q is not empty; %q", folder, entries[0].Name())
	}
	return nil
}

// writeFolder writes the files to a temporary folder beside the output folder and renames it, so that a failed write
// leaves no incomplete output.
func writeFolder(folder string, files []file) error {
	folder = filepath.Clean(folder)
	if err := os.MkdirAll(filepath.Dir(folder), 0o755); err != nil {
		return errors.Trace(err)
	}
	tempFolder, err := os.MkdirTemp(filepath.Dir(folder), ".ask-")
	if err != nil {
		return errors.Trace(err)
	}
	// Has no effect after a successful rename.
	defer func() { _ = os.RemoveAll(tempFolder) }()
	if err := os.Mkdir(filepath.Join(tempFolder, hostsName), folderMode); err != nil {
		return errors.Trace(err)
	}
	for _, f := range files {
		if err := os.WriteFile(filepath.Join(tempFolder, f.name), f.data, f.mode); err != nil {
			return errors.Trace(err)
		}
	}
	// An existing empty folder would make the rename fail. Remove keeps a folder that is no longer empty.
	if err := os.Remove(folder); err != nil && !os.IsNotExist(err) {
		return errors.Trace(err)
	}
	return errors.Annotatef(os.Rename(tempFolder, folder), "output folder %q", folder)
}

// printSummary lists the output files and the next steps.
func printSummary(cfg Config, d *deployment) error {
	_, err := fmt.Fprintf(cfg.Out, `Wrote to %s:
  %-14s configuration of %d services, %d firms, %d data centres
  %-14s settings of %d hosts; copy each to its host
  %-14s tokens in clear of %d operators and %d firms; hand them over, then delete the file
Start each host with: sycamorevane run -config NAME.ini
Then apply the configuration once: sycamorevane do apply %s
`, cfg.OutputDir, configName, len(d.services), len(d.workspaces), len(d.dcs), hostsName+"/", len(d.hosts),
		tokensName, len(d.operators), len(d.workspacesWithToken), configName)
	return errors.Trace(err)
}
