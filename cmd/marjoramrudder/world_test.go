package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/goleak"

	"github.com/marjoramrudder/marjoramrudder/internal/admin"
	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/plat"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const testSecret = "0123456789abcdef"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// instance stands for a proxy. It puts each accepted version in force at
// once, or keeps the one it has when frozen.
type instance struct {
	member   store.Member
	world    *world
	server   *admin.Server
	log      *event.Log
	frozen   bool
	drainFor atomic.Pointer[string]
}

func (i *instance) Version() admin.Version {
	v := admin.Version{Instance: i.member.Instance, Environment: "trial"}
	if head, err := i.world.platform.Documents.Head(context.Background(), "trial"); err == nil && !i.frozen {
		v.Version, v.Change = head.Version, head.Change
	}
	return v
}

func (i *instance) Report(time.Time) admin.Report {
	return admin.Report{
		Version:    i.Version(),
		DataCentre: i.member.DataCentre,
		Sessions:   2,
		Groups:     []admin.GroupReport{{Group: "orders", Term: 3 << 20, Primary: "orders-1"}},
		Peers:      []admin.PeerReport{{Instance: "other", Connected: true}},
	}
}

func (i *instance) Ready(time.Time) error { return nil }

func (i *instance) Drain(reason string) { i.drainFor.Store(&reason) }

// Prepare implements admin.Control. The instance has nobody to tell.
func (i *instance) Prepare(context.Context, ident.Version) error { return nil }

// world is a platform, instances and the directory of an operator.
type world struct {
	t         *testing.T
	server    *plat.Server
	platform  *store.Platform
	instances map[string]*instance
}

func newWorld(t *testing.T) *world {
	t.Helper()
	server, err := plat.Start(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	platform, err := store.Open(server.Platform())
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(t.TempDir())
	w := &world{t: t, server: server, platform: platform, instances: map[string]*instance{}}
	w.write("proxy.toml", settingsText(server))
	t.Setenv(settingsVariable, "proxy.toml")
	t.Setenv(authorVariable, "anna")
	t.Cleanup(w.close)
	return w
}

func (w *world) close() {
	for _, i := range w.instances {
		if err := i.server.Close(); err != nil {
			w.t.Error(err)
		}
	}
	_ = w.platform.Close()
	if err := w.server.Close(); err != nil {
		w.t.Error(err)
	}
}

func settingsText(server *plat.Server) string {
	p := server.Platform()
	return fmt.Sprintf(`Environment = "trial"
[Platform]
TableURL = %q
ObjectURL = %q
ListURL = %q
AccessKey = %q
SecretKey = %q
[Peers]
Secret = %q
`, p.TableURL, p.ObjectURL, p.ListURL, p.AccessKey, p.SecretKey, testSecret)
}

func (w *world) write(name, text string) {
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
}

// startInstance starts an instance and registers it.
func (w *world) startInstance(name string, frozen bool) {
	i := &instance{world: w, log: event.NewLog(ident.Instance(name), 8), frozen: frozen}
	i.member = store.Member{Instance: ident.Instance(name), DataCentre: "milano-a", Start: 1, Renewal: 1}
	s, err := admin.Start(context.Background(), admin.Config{Address: "127.0.0.1:0", Secret: testSecret}, i, i, i.log)
	if err != nil {
		w.t.Fatal(err)
	}
	i.server, i.member.Admin = s, s.Addr()
	if err := w.platform.Members.Put(context.Background(), "trial", i.member); err != nil {
		w.t.Fatal(err)
	}
	w.instances[name] = i
}

// run executes one directive of a script.
func (w *world) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "file":
		var name string
		d.ScanArgs(w.t, "name", &name)
		w.write(name, d.Input)
	case "instance":
		for _, a := range d.CmdArgs {
			w.startInstance(a.Key, len(a.Vals) > 0)
		}
	case "stop":
		if err := w.instances[d.CmdArgs[0].Key].server.Close(); err != nil {
			w.t.Fatal(err)
		}
	case "emit":
		w.emit(d.Input)
	case "outage":
		w.server.SetFaults(plat.Faults{Outage: plat.Refuse})
	case "lose":
		w.server.SetFaults(plat.Faults{LoseNext: 1, LoseOnly: d.CmdArgs[0].Key})
	case "run":
		return w.commands(d.Input)
	default:
		w.t.Fatalf("unknown directive %s", d.Cmd)
	}
	return ""
}

// emit writes one record for each line, "instance seconds kind note".
func (w *world) emit(input string) {
	for l := range strings.Lines(input) {
		f := strings.Fields(l)
		seconds, err := time.ParseDuration(f[1])
		if err != nil {
			w.t.Fatal(err)
		}
		now := time.Unix(0, 0).Add(seconds)
		w.instances[f[0]].log.Emit(now, event.Kind(f[2]), event.Subject{Group: "orders"}, event.Ref{}, f[3])
	}
}

// commands runs each line as a command line and prints what an operator sees.
func (w *world) commands(input string) string {
	var out strings.Builder
	for l := range strings.Lines(input) {
		var stdout, stderr bytes.Buffer
		args := append([]string{"marjoramrudder"}, strings.Fields(w.resolve(l))...)
		code := run(context.Background(), args, &stdout, &stderr)
		for l := range strings.Lines(stderr.String()) {
			fmt.Fprintf(&out, "! %s", l)
		}
		fmt.Fprintf(&out, "%s= %d\n", stdout.String(), code)
	}
	return scrub(w.hide(out.String()))
}

// hide is the opposite of resolve.
func (w *world) hide(text string) string {
	for name, i := range w.instances {
		text = strings.ReplaceAll(text, i.member.Admin, "@"+name)
	}
	return text
}

// resolve replaces @NAME by the administration address of an instance.
func (w *world) resolve(l string) string {
	for name, i := range w.instances {
		l = strings.ReplaceAll(l, "@"+name, i.member.Admin)
	}
	return l
}

// random matches what differs from run to run, and what stands for it.
var random = []struct {
	pattern *regexp.Regexp
	name    string
}{
	{regexp.MustCompile(`sha256:[0-9a-f]{64}`), "HASH"},
	{regexp.MustCompile(`mk_[a-z2-7]+`), "KEY"},
	{regexp.MustCompile(`\b[0-9a-f]{32}\b`), "CHANGE"},
	{regexp.MustCompile(`20\d\d-\d\d-\d\dT[0-9:.]+Z`), "TIME"},
	{regexp.MustCompile(`\b[0-9a-f]{12,64}\b`), "DIGEST"},
	{regexp.MustCompile(`: (operation error|dial|context) .*`), ": CAUSE"},
	{regexp.MustCompile(` +\n`), "\n"},
}

func scrub(text string) string {
	for _, r := range random {
		text = r.pattern.ReplaceAllString(text, r.name)
	}
	return strings.ReplaceAll(text, " \n", "\n")
}

// TestCommandScripts runs the scripts of testdata/commands, each in a world of
// its own.
func TestCommandScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/commands", func(t *testing.T, path string) {
		script, err := filepath.Abs(path)
		if err != nil {
			t.Fatal(err)
		}
		w := newWorld(t)
		datadriven.RunTest(t, script, func(_ *testing.T, d *datadriven.TestData) string { return w.run(d) })
	})
}
