package layout

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
)

// The files of a deployment, in its directory.
const (
	layoutFile    = "set.json"
	DocumentFile  = "document.toml"
	processesFile = "processes"
)

const fileMode = 0o600

// Write stores the layout, the settings of the proxies, the document, and a
// file with one line for each process: name, program and arguments, separated
// by tabs.
func (l *Layout) Write() error {
	if err := l.writeJSON(); err != nil {
		return err
	}
	text, err := envdoc.Marshal(l.Document())
	if err != nil {
		return errors.Wrap(err, "marshal document")
	}
	if err := l.write(DocumentFile, text); err != nil {
		return err
	}
	for _, p := range l.Proxies {
		text, err := toml.Marshal(l.Settings(p))
		if err != nil {
			return errors.Wrap(err, "marshal settings")
		}
		if err := l.write(filepath.Base(p.Settings), text); err != nil {
			return err
		}
	}
	return l.write(processesFile, []byte(l.processes()))
}

func (l *Layout) writeJSON() error {
	text, err := json.MarshalIndent(l, "", "  ")
	if err != nil {
		return errors.Wrap(err, "marshal layout")
	}
	return l.write(layoutFile, text)
}

func (l *Layout) write(name string, text []byte) error {
	return errors.Wrapf(os.WriteFile(filepath.Join(l.Dir, name), text, fileMode), "write %s", name)
}

// Load reads a layout that Write stored in dir.
func Load(dir string) (*Layout, error) {
	text, err := os.ReadFile(filepath.Join(dir, layoutFile))
	if err != nil {
		return nil, errors.Wrap(err, "read layout")
	}
	var l Layout
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, errors.Wrap(err, "decode layout")
	}
	return &l, nil
}

func (l *Layout) processes() string {
	var b strings.Builder
	line := func(fields ...string) { b.WriteString(strings.Join(fields, "\t") + "\n") }
	line(l.Platform.Name, "stand", "platform", "--listen", l.Platform.Listen, "--control", l.Platform.Control)
	for _, g := range l.Groups {
		for _, e := range g.Endpoints {
			line(append([]string{string(e.Name), "stand", "endpoint"}, l.endpointFlags(g, e)...)...)
		}
	}
	for _, p := range l.Proxies {
		line(string(p.Name), "marjoramrudder", "proxy", "--settings", p.Settings)
	}
	return b.String()
}

func (l *Layout) endpointFlags(g Group, e Endpoint) []string {
	var peers []string
	for _, o := range g.Endpoints {
		peers = append(peers, fmt.Sprintf("%s=%s", o.Name, o.Listen))
	}
	p := &l.Profile
	return []string{
		"--name", string(e.Name), "--listen", e.Listen, "--control", e.Control,
		"--peers", strings.Join(peers, ","), "--primary", string(g.Endpoints[0].Name),
		"--slots", fmt.Sprint(p.Slots), "--connections", fmt.Sprint(p.Connections),
		"--connect-time", p.ConnectTime.String(), "--latency", p.Latency.String(),
		"--service-time", p.ServiceTime.String(), "--replication-lag", p.Latency.String(),
		"--user", BackUser, "--password", BackPassword,
	}
}
