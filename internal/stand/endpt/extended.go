package endpt

import (
	"context"
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

// prepared is a prepared statement with the described types of its parameters
// and its result.
type prepared struct {
	statement *statement // nil for an empty statement
	params    []uint32
	columns   []column
}

// portal is a prepared statement with its arguments.
type portal struct {
	prepared *prepared
	args     []*string
	formats  []int16
	ran      bool
	rest     [][]*string // rows that have not been fetched yet
	tag      string
}

func (x *session) extended(ctx context.Context, m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return x.parse(m)
	case *pgproto3.Bind:
		return x.bind(m)
	case *pgproto3.Describe:
		return x.describe(m)
	case *pgproto3.Execute:
		return x.execute(ctx, m)
	case *pgproto3.Close:
		x.closeObject(m)
		return nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // ignored outside a copy, as in PostgreSQL
	}
	return fail(codeUnsupported, "message %T is not supported", m)
}

func (x *session) parse(m *pgproto3.Parse) error {
	if _, used := x.prepared[m.Name]; used && m.Name != "" {
		return fail("42P05", "prepared statement %q already exists", m.Name)
	}
	all, err := parse(m.Query)
	if err != nil {
		return err
	}
	if len(all) > 1 {
		return syntaxError("cannot insert multiple commands into a prepared statement")
	}
	p := &prepared{}
	if len(all) == 1 {
		p.statement = all[0]
		p.params = slices.Clone(p.statement.params)
		p.columns = x.server.node.columns(p.statement)
	}
	for i, t := range m.ParameterOIDs {
		if i < len(p.params) && t != 0 {
			p.params[i] = t
		}
	}
	x.prepared[m.Name] = p
	x.back.Send(&pgproto3.ParseComplete{})
	return nil
}

func (x *session) bind(m *pgproto3.Bind) error {
	p, ok := x.prepared[m.PreparedStatement]
	if !ok {
		return fail(codeNoStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.params) {
		return fail(codeProtocol, "bind has %d parameters, the statement needs %d", len(m.Parameters), len(p.params))
	}
	o := &portal{prepared: p, formats: slices.Clone(m.ResultFormatCodes)}
	for i, raw := range m.Parameters {
		v, err := decodeParam(raw, p.params[i], formatOf(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		o.args = append(o.args, v)
	}
	x.portals[m.DestinationPortal] = o
	x.back.Send(&pgproto3.BindComplete{})
	return nil
}

func (x *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		p, ok := x.prepared[m.Name]
		if !ok {
			return fail(codeNoStatement, "prepared statement %q does not exist", m.Name)
		}
		x.back.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.params})
		x.sendDescription(p.columns, nil)
		return nil
	}
	o, ok := x.portals[m.Name]
	if !ok {
		return fail(codeNoCursor, "portal %q does not exist", m.Name)
	}
	x.sendDescription(o.prepared.columns, o.formats)
	return nil
}

func (x *session) sendDescription(columns []column, formats []int16) {
	if columns == nil {
		x.back.Send(&pgproto3.NoData{})
		return
	}
	x.back.Send(describeRows(columns, formats))
}

func (x *session) execute(ctx context.Context, m *pgproto3.Execute) error {
	o, ok := x.portals[m.Portal]
	if !ok {
		return fail(codeNoCursor, "portal %q does not exist", m.Portal)
	}
	if o.prepared.statement == nil {
		x.back.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if !o.ran {
		if err := x.runPortal(ctx, o); err != nil {
			return err
		}
	}
	n := len(o.rest)
	if m.MaxRows > 0 {
		n = min(n, int(m.MaxRows))
	}
	x.sendRows(o.prepared.columns, o.rest[:n], o.formats)
	o.rest = o.rest[n:]
	if len(o.rest) > 0 {
		x.back.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	x.back.Send(&pgproto3.CommandComplete{CommandTag: []byte(o.tag)})
	return nil
}

func (x *session) runPortal(ctx context.Context, o *portal) error {
	ctx, done := x.cancellable(ctx)
	defer done()
	r, err := x.run(ctx, o.prepared.statement, o.args)
	if err != nil {
		return err
	}
	if !slices.Equal(r.columns, o.prepared.columns) {
		return fail(codeUnsupported, "cached plan must not change result type")
	}
	o.ran, o.rest, o.tag = true, r.rows, r.tag
	return nil
}

func (x *session) closeObject(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(x.prepared, m.Name)
	} else {
		delete(x.portals, m.Name)
	}
	x.back.Send(&pgproto3.CloseComplete{})
}

// sync commits the implicit transaction and stops ignoring messages.
func (x *session) sync() {
	x.skipping = false
	if err := x.commitImplicit(); err != nil {
		x.sendError(err)
	}
	if x.txn == nil {
		clear(x.portals)
	}
}

func formatOf(formats []int16, i int) int16 {
	switch len(formats) {
	case 0:
		return pgproto3.TextFormat
	case 1:
		return formats[0]
	}
	if i < len(formats) {
		return formats[i]
	}
	return pgproto3.TextFormat
}

const (
	oidBool    = 16
	oidInt2    = 21
	oidUnknown = 705
	oidVarchar = 1043
)

// decodeParam converts a parameter to text, the only type of stored values.
func decodeParam(raw []byte, oid uint32, format int16) (*string, error) {
	if raw == nil {
		return nil, nil
	}
	text := string(raw)
	if format == pgproto3.TextFormat {
		return &text, nil
	}
	switch {
	case oid == oidInt8 && len(raw) == 8:
		text = strconv.FormatInt(int64(binary.BigEndian.Uint64(raw)), 10)
	case oid == oidInt4 && len(raw) == 4:
		text = strconv.FormatInt(int64(int32(binary.BigEndian.Uint32(raw))), 10)
	case oid == oidInt2 && len(raw) == 2:
		text = strconv.FormatInt(int64(int16(binary.BigEndian.Uint16(raw))), 10)
	case oid == oidBool && len(raw) == 1:
		text = strconv.FormatBool(raw[0] != 0)
	case oid == oidText || oid == oidVarchar || oid == oidUnknown || oid == 0:
	default:
		return nil, fail(codeUnsupported, "binary parameter of type %d is not supported", oid)
	}
	return &text, nil
}

func describeRows(columns []column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, c := range columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: typeSize(c.oid),
			TypeModifier: -1, Format: formatOf(formats, i),
		})
	}
	return d
}

func typeSize(oid uint32) int16 {
	switch oid {
	case oidInt8:
		return 8
	case oidInt4:
		return 4
	}
	return -1
}

func (x *session) sendRows(columns []column, rows [][]*string, formats []int16) {
	for _, r := range rows {
		d := &pgproto3.DataRow{Values: make([][]byte, len(r))}
		for i, v := range r {
			d.Values[i] = encodeValue(v, columns[i].oid, formatOf(formats, i))
		}
		x.back.Send(d)
	}
}

func encodeValue(v *string, oid uint32, format int16) []byte {
	if v == nil {
		return nil
	}
	if format == pgproto3.TextFormat || oid == oidText {
		return []byte(*v)
	}
	n, _ := strconv.ParseInt(*v, 10, 64) // the stand-in formatted the number itself
	if oid == oidInt4 {
		return binary.BigEndian.AppendUint32(nil, uint32(n))
	}
	return binary.BigEndian.AppendUint64(nil, uint64(n))
}
