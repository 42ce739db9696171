package endpt

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// callFunction executes one of the control functions of internal/group. None of
// them takes a slot.
func (x *session) callFunction(st *statement, args []*string) (*result, error) {
	r := &result{columns: functions[st.name].columns, tag: "SELECT 1"}
	row, err := x.evalFunction(st.name, st.values[0], args)
	if err != nil {
		return nil, err
	}
	r.rows = [][]*string{row}
	return r, nil
}

func (x *session) evalFunction(name string, in []operand, args []*string) ([]*string, error) {
	n, now := x.server.node, time.Now()
	switch name {
	case fnStatus:
		return statusRow(n.status(now), nil)
	case fnLastWrite:
		return x.lastWriteRow()
	case group.FnOnce:
		return x.recordRequest(in, args)
	}
	var numbers []int64
	for _, o := range in {
		if o.oid == oidText && name == group.FnFollow && len(numbers) == 1 {
			break
		}
		v, err := o.integer(args)
		if err != nil {
			return nil, err
		}
		numbers = append(numbers, v)
	}
	term := ident.Term(numbers[0])
	switch name {
	case group.FnRequireData:
		pos := ident.LogPosition{Term: term, Position: ident.Position(numbers[1])}
		return voidRow(n.requirePosition(pos, time.Duration(numbers[2])*time.Millisecond, now))
	case group.FnRequirePrimary:
		return voidRow(n.requirePrimary(term))
	case group.FnSeal:
		return statusRow(n.seal(term, now))
	case group.FnPromote:
		return statusRow(n.promote(term, now))
	}
	address, err := in[1].bind(args)
	if err != nil {
		return nil, err
	}
	if address == nil {
		return nil, fail(codeBadValue, "follow needs an address")
	}
	return voidRow(x.server.follow(term, *address))
}

func voidRow(err error) ([]*string, error) { return []*string{text("")}, err }

func statusRow(s group.Status, err error) ([]*string, error) {
	if err != nil {
		return nil, err
	}
	return []*string{
		number(int64(s.Term)),
		text(string(s.Role)),
		number(int64(s.Last.Term)),
		number(int64(s.Last.Position)),
		number(int64(s.Confirmed)),
		number(s.DataAge.Milliseconds()),
		number(s.PrimaryHeard.Milliseconds()),
		number(int64(s.Sealed)),
	}, nil
}

func (x *session) lastWriteRow() ([]*string, error) {
	pos := x.lastWrite
	confirmed := x.server.node.confirmedFor(pos)
	return []*string{number(int64(pos.Term)), number(int64(pos.Position)), number(int64(confirmed))}, nil
}

// recordRequest records a request identifier. If it has been recorded already,
// the position of that record becomes the connection's last write, so that the
// caller can wait until it is confirmed.
func (x *session) recordRequest(in []operand, args []*string) ([]*string, error) {
	request, err := in[0].bind(args)
	if err != nil {
		return nil, err
	}
	digest, err := in[1].bind(args)
	if err != nil {
		return nil, err
	}
	if request == nil || digest == nil {
		return nil, fail(codeBadValue, "once needs a request and a digest")
	}
	pos, err := x.server.node.recordRequest(x.txn, ident.Request(*request), *digest)
	if !pos.Zero() {
		x.lastWrite = pos
	}
	return voidRow(err)
}
