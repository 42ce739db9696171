package fleet

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// RowsRead is the result of a ReadRows. Began is from before the read.
type RowsRead struct {
	Began time.Time
	Rows  []store.Member
	Err   error
}

// RowWritten is the result of a WriteRow.
type RowWritten struct{ Err error }

// Left tells that a peer said that it stops.
type Left struct{ From ident.Instance }

// Listed is the result of a ReadList: the machines that the platform lists,
// leaving ones included. There is none when the read failed.
type Listed struct{ Instances []ident.Instance }

func (Listed) msg()     {}
func (RowsRead) msg()   {}
func (RowWritten) msg() {}
func (Left) msg()       {}

// ReadRows asks for all member rows.
type ReadRows struct{}

// ReadList asks for the platform's list of machines.
type ReadList struct{}

// WriteRow asks to write the own member row.
type WriteRow struct{ Member store.Member }

// RemoveRow asks to delete the row of an instance that is gone.
type RemoveRow struct{ Instance ident.Instance }

// MembersChanged gives the known instances and their addresses, the own one
// included, in the order of their names.
type MembersChanged struct{ Members []store.Member }

// LiveChanged gives the live instances in order, the own one included.
type LiveChanged struct{ Instances []ident.Instance }

func (ReadRows) cmd()       {}
func (ReadList) cmd()       {}
func (WriteRow) cmd()       {}
func (RemoveRow) cmd()      {}
func (MembersChanged) cmd() {}
func (LiveChanged) cmd()    {}
