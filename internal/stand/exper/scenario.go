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

// Scenario is a set of faults that start together after the first third of a
// run and, unless they are permanent, end after the second.
type Scenario struct {
	Name   string
	Flood  bool // the largest account offers ten times its rate
	Faults []Fault
}

// Fault starts a fault in the deployment and returns the function that ends it.
type Fault func(d *Deployment) (undo func())

// Scenarios lists the scenarios in the order of the report.
var Scenarios = []Scenario{
	{Name: "quiet"},
	{Name: "flood", Flood: true},
	{Name: "primary cut off", Faults: []Fault{partitionPrimary}},
	{Name: "primary frozen", Faults: []Fault{freezePrimary}},
	{Name: "primary dead", Faults: []Fault{killPrimary}},
	{Name: "replicas behind", Faults: []Fault{delayReplicas}},
	{Name: "store silent", Faults: []Fault{hangStore}},
	{Name: "cut off and flood", Flood: true, Faults: []Fault{partitionPrimary}},
	{Name: "cut off and store silent", Faults: []Fault{hangStore, partitionPrimary}},
}

// faultedGroup returns the group that the faults affect.
func (d *Deployment) faultedGroup() ident.Group { return d.Layout.Groups[0].Name }

func on() *bool { v := true; return &v }

func off() *bool { v := false; return &v }

// partitionPrimary disconnects the primary from its group, but not from
// callers.
func partitionPrimary(d *Deployment) func() {
	p := d.primary(d.faultedGroup())
	p.SetFaults(endpt.Faults{CutGroup: on()})
	return func() { p.SetFaults(endpt.Faults{CutGroup: off()}) }
}

// freezePrimary stops the primary without closing its connections.
func freezePrimary(d *Deployment) func() {
	p := d.primary(d.faultedGroup())
	p.SetFaults(endpt.Faults{Frozen: on()})
	return func() { p.SetFaults(endpt.Faults{Frozen: off()}) }
}

// killPrimary stops the primary permanently.
func killPrimary(d *Deployment) func() {
	_ = d.primary(d.faultedGroup()).Close()
	return func() {}
}

// delayReplicas makes every replica apply records late.
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

// hangStore makes the platform's store accept calls without ever answering.
func hangStore(d *Deployment) func() {
	d.Platform.SetFaults(plat.Faults{Outage: plat.Hang})
	return func() { d.Platform.SetFaults(plat.Faults{}) }
}

// flood lets the account with the highest rate offer a multiple of its rate.
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
