package exper

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/endpt"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/load"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/plat"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	primaryRole = group.PrimaryRole
	replicaRole = group.ReplicaRole

	floodFactor = 10
	staleLag    = envdoc.Duration(3 * time.Second)
)

// Scenario is a fault that begins after the first third of a run and, unless
// it lasts, ends after the second. Several faults may come together.
type Scenario struct {
	Name   string
	Flood  bool // the largest account offers ten times its rate
	Faults []Fault
}

// Fault breaks something of the deployment and returns what mends it.
type Fault func(d *Deployment) (mend func())

// Scenarios lists the scenarios in the order of the report.
var Scenarios = []Scenario{
	{Name: "quiet"},
	{Name: "flood", Flood: true},
	{Name: "primary cut off", Faults: []Fault{cutPrimary}},
	{Name: "primary frozen", Faults: []Fault{freezePrimary}},
	{Name: "primary dead", Faults: []Fault{killPrimary}},
	{Name: "replicas behind", Faults: []Fault{delayReplicas}},
	{Name: "store silent", Faults: []Fault{silenceStore}},
	{Name: "cut off and flood", Flood: true, Faults: []Fault{cutPrimary}},
	{Name: "cut off and store silent", Faults: []Fault{silenceStore, cutPrimary}},
}

// faulted returns the group whose endpoints the faults hit.
func (d *Deployment) faulted() ident.Group { return d.Layout.Groups[0].Name }

func on() *bool { v := true; return &v }

func off() *bool { v := false; return &v }

// cutPrimary cuts the primary off from its group, while callers reach it.
func cutPrimary(d *Deployment) func() {
	p := d.primary(d.faulted())
	p.SetFaults(endpt.Faults{CutGroup: on()})
	return func() { p.SetFaults(endpt.Faults{CutGroup: off()}) }
}

// freezePrimary stops the primary without closing its connections.
func freezePrimary(d *Deployment) func() {
	p := d.primary(d.faulted())
	p.SetFaults(endpt.Faults{Frozen: on()})
	return func() { p.SetFaults(endpt.Faults{Frozen: off()}) }
}

// killPrimary ends the primary for good.
func killPrimary(d *Deployment) func() {
	_ = d.primary(d.faulted()).Close()
	return func() {}
}

// delayReplicas makes every replica show data late.
func delayReplicas(d *Deployment) func() {
	set := func(lag envdoc.Duration) {
		for _, servers := range d.Endpoints {
			for _, s := range servers {
				s.SetFaults(endpt.Faults{ApplyLag: &lag})
			}
		}
	}
	set(staleLag)
	return func() { set(0) }
}

// silenceStore makes the platform's store take calls and never answer.
func silenceStore(d *Deployment) func() {
	d.Platform.SetFaults(plat.Faults{Outage: plat.Silence})
	return func() { d.Platform.SetFaults(plat.Faults{}) }
}

// flood lets the account of the highest rate offer a multiple of its rate.
func flood(c *load.Config) ident.Account {
	largest := &c.Accounts[0]
	for i := range c.Accounts {
		if c.Accounts[i].Rate > largest.Rate {
			largest = &c.Accounts[i]
		}
	}
	largest.Surge = load.Surge{
		From: c.Duration / 3, Until: 2 * c.Duration / 3,
		Factor: floodFactor * float64(largest.Rate) / largest.Offered,
	}
	return largest.Name
}
