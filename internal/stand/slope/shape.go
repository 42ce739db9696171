// Package slope measures how the cost of the control plane grows with a
// deployment: processor time, messages, bytes, probes, store calls and memory
// of each instance while no caller is connected, and the time that a change of
// the configuration or of a primary takes. It runs whole deployments in this
// process and is not part of the product.
package slope

import (
	"fmt"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/layout"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	serversPerGroup = 3
	// connectionsPerInstance is high enough that the connection limit of the
	// endpoint stand-in does not bound the measurement.
	connectionsPerInstance = 6
	latency                = time.Millisecond
	connectTime            = 12 * time.Millisecond
	serviceTime            = 2 * time.Millisecond
)

// Shape is the size of one deployment. Moved is the number of groups that lose
// their primary at the same time at the end.
type Shape struct {
	Instances int
	Groups    int
	Accounts  int
	Moved     int
}

// Shapes varies one dimension at a time around the size of the carbonella
// deployment.
func Shapes() []Shape {
	return []Shape{
		{Instances: 2, Groups: 3, Accounts: 8, Moved: 1},
		{Instances: 4, Groups: 3, Accounts: 8, Moved: 1},
		{Instances: 8, Groups: 3, Accounts: 8, Moved: 1},
		{Instances: 16, Groups: 3, Accounts: 8, Moved: 1},
		{Instances: 32, Groups: 3, Accounts: 8, Moved: 1},
		{Instances: 8, Groups: 10, Accounts: 8, Moved: 10},
		{Instances: 8, Groups: 30, Accounts: 8, Moved: 30},
		{Instances: 8, Groups: 3, Accounts: 32, Moved: 1},
		{Instances: 8, Groups: 3, Accounts: 128, Moved: 1},
	}
}

// String implements fmt.Stringer.
func (s Shape) String() string {
	return fmt.Sprintf("%d instances, %d groups, %d accounts", s.Instances, s.Groups, s.Accounts)
}

// profile describes the shape's deployment in four data centres. The account
// sizes repeat those of the carbonella profile.
func (s Shape) profile() (layout.Profile, error) {
	base, err := layout.Named("carbonella")
	if err != nil {
		return layout.Profile{}, err
	}
	p := layout.Profile{
		Name:        s.String(),
		DataCentres: slices.Clone(base.DataCentres),
		Servers:     serversPerGroup,
		Proxies:     s.Instances,
		Slots:       base.Slots,
		Connections: connectionsPerInstance * s.Instances,
		ConnectTime: connectTime,
		Latency:     latency,
		ServiceTime: serviceTime,
	}
	for i := range s.Groups {
		p.Groups = append(p.Groups, ident.Group(fmt.Sprintf("group-%d", i)))
	}
	for i := range s.Accounts {
		a := base.Accounts[i%len(base.Accounts)]
		a.Name = ident.Account(fmt.Sprintf("account-%d", i))
		p.Accounts = append(p.Accounts, a)
	}
	return p, nil
}
