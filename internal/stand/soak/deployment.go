package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/admin"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/endpt"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/layout"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/plat"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/procs"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const controlTimeout = 2 * time.Second

// deployment gives access to the processes of a running deployment.
type deployment struct {
	layout *layout.Layout
	procs  procs.Set
	admin  *admin.Client
	http   *http.Client
}

func newDeployment(l *layout.Layout) *deployment {
	secret := l.Settings(l.Proxies[0]).Peers.Secret
	return &deployment{layout: l, procs: procs.NewSet(l.Dir), admin: admin.NewClient(secret), http: &http.Client{Transport: &http.Transport{}, Timeout: controlTimeout}}
}

// Close closes idle connections.
func (d *deployment) Close() {
	d.admin.Close()
	d.http.CloseIdleConnections()
}

func (d *deployment) endpointStatus(ctx context.Context, e layout.Endpoint) (group.Status, error) {
	var out group.Status
	return out, d.get(ctx, e.Control, "/status", &out)
}

func (d *deployment) counters(ctx context.Context, e layout.Endpoint) (endpt.Counters, error) {
	var out endpt.Counters
	return out, d.get(ctx, e.Control, "/counters", &out)
}

func (d *deployment) setEndpoint(ctx context.Context, e layout.Endpoint, f endpt.Faults) error {
	return d.post(ctx, e.Control, "/faults", f)
}

func (d *deployment) setPlatform(ctx context.Context, f plat.Faults) error {
	return d.post(ctx, d.layout.Platform.Control, "/faults", f)
}

func (d *deployment) setLeaving(ctx context.Context, e layout.Endpoint, leaving bool) error {
	return d.post(ctx, d.layout.Platform.Control, "/list/entry", plat.Listed{Name: string(e.Name), Address: e.Listen, Leaving: leaving})
}

// fillList lists every process as live.
func (d *deployment) fillList(ctx context.Context) error {
	var all []plat.Listed
	for _, p := range d.layout.Proxies {
		all = append(all, plat.Listed{Name: string(p.Name), Address: p.Callers})
	}
	for _, g := range d.layout.Groups {
		for _, e := range g.Endpoints {
			all = append(all, plat.Listed{Name: string(e.Name), Address: e.Listen})
		}
	}
	return d.post(ctx, d.layout.Platform.Control, "/list", all)
}

func (d *deployment) get(ctx context.Context, address, path string, out any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	return d.do(request, out)
}

func (d *deployment) post(ctx context.Context, address, path string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(text))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	return d.do(request, nil)
}

func (d *deployment) do(request *http.Request, out any) error {
	response, err := d.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "call control interface")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Newf("%s: status %s", request.URL, response.Status)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(out), "decode answer")
}

// primary returns the index of the primary of the highest term in a group.
func (d *deployment) primary(ctx context.Context, g layout.Group) (int, bool) {
	best, term := 0, ident.Term(0)
	for i, e := range g.Endpoints {
		if st, err := d.endpointStatus(ctx, e); err == nil && st.Role == group.PrimaryRole && st.Term > term {
			best, term = i, st.Term
		}
	}
	return best, term > 0
}

// caughtUp reports whether every endpoint of a group is in the same term and
// holds all confirmed records, so that one of them can lose its data safely.
func (d *deployment) caughtUp(ctx context.Context, g layout.Group) bool {
	var all []group.Status
	for _, e := range g.Endpoints {
		st, err := d.endpointStatus(ctx, e)
		if err != nil {
			return false
		}
		all = append(all, st)
	}
	return groupCaughtUp(all)
}

// groupCaughtUp implements caughtUp for the statuses of all endpoints of a
// group.
func groupCaughtUp(all []group.Status) bool {
	var confirmed ident.Position
	primaries := 0
	for _, st := range all {
		confirmed = max(confirmed, st.Confirmed)
		if st.Role == group.PrimaryRole {
			primaries++
		}
	}
	for _, st := range all {
		if st.Term != all[0].Term || st.Sealed > st.Term || st.Last.Position < confirmed {
			return false
		}
	}
	return primaries == 1
}
