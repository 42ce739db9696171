package fleet

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// RowsRead is the result of a ReadRows. StartedAt is from before the read.
type RowsRead struct {
	StartedAt time.Time
	Rows      []store.Member
	Err       error
}

// RowWritten is the result of a WriteRow.
type RowWritten struct{ Err error }

// PeerLeaving reports that a peer is shutting down.
type PeerLeaving struct{ From ident.Instance }

// InstancesListed is the result of a successful ReadList: the machines that the
// platform lists, including ones that are shutting down. It is not sent when
// the read fails.
type InstancesListed struct{ Instances []ident.Instance }

func (InstancesListed) msg() {}
func (RowsRead) msg()        {}
func (RowWritten) msg()      {}
func (PeerLeaving) msg()     {}

// ReadRows reads all member rows.
type ReadRows struct{}

// ReadList reads the platform's list of machines.
type ReadList struct{}

// WriteRow writes the instance's own member row.
type WriteRow struct{ Member store.Member }

// RemoveRow deletes the member row of an instance that is gone.
type RemoveRow struct{ Instance ident.Instance }

// MembersChanged carries the known instances and their addresses, including
// this one, ordered by name.
type MembersChanged struct{ Members []store.Member }

// LiveChanged carries the live instances in order, including this one.
type LiveChanged struct{ Instances []ident.Instance }

func (ReadRows) cmd()       {}
func (ReadList) cmd()       {}
func (WriteRow) cmd()       {}
func (RemoveRow) cmd()      {}
func (MembersChanged) cmd() {}
func (LiveChanged) cmd()    {}
