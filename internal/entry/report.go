package entry

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/admin"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
)

// Version implements admin.Source.
func (p *Proxy) Version() admin.Version {
	v := admin.Version{
		Instance:    p.settings.Instance,
		Environment: p.settings.Environment,
		Version:     p.fleet.Version(),
	}
	if c := p.changeInForce.Load(); c != nil {
		v.Change = *c
	}
	return v
}

// Ready implements admin.Source.
func (p *Proxy) Ready(now time.Time) error {
	switch {
	case p.draining.Load():
		return errors.New("the instance is stopping")
	case p.fleet.Version() == 0:
		return errors.New("no document is in force")
	case !p.fleet.Trusted(now):
		return errors.New("the document may be out of date")
	}
	return nil
}

// Report implements admin.Source.
func (p *Proxy) Report(time.Time) admin.Report {
	r := admin.Report{
		Version:    p.Version(),
		DataCentre: p.settings.DataCentre,
		Draining:   p.draining.Load(),
		Sessions:   p.front.Sessions(),
	}
	for _, v := range p.groups.Views() {
		r.Groups = append(r.Groups, groupReport(v))
	}
	for _, f := range p.fleet.Versions() {
		if f.Instance != p.settings.Instance {
			r.Peers = append(r.Peers, admin.PeerReport{Instance: f.Instance, Connected: f.Connected, Version: f.Version})
		}
	}
	return r
}

func groupReport(v *group.View) admin.GroupReport {
	r := admin.GroupReport{Group: v.Group, Term: v.Term, Primary: v.PrimaryName()}
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		r.Endpoints = append(r.Endpoints, admin.EndpointReport{
			Endpoint: e.Endpoint.Name,
			Role:     e.Status.Role,
			Position: e.Status.Last.Position,
			Leaving:  e.Leaving,
		})
	}
	return r
}
