package endpt

import (
	"slices"
	"strings"

	"github.com/marjoramrudder/marjoramrudder/internal/group"
)

// function describes one of the control functions of internal/group.
type function struct {
	params  []uint32
	columns []column
}

type column struct {
	name string
	oid  uint32
}

var statusColumns = []column{
	{"term", oidInt8},
	{"role", oidText},
	{"last_term", oidInt8},
	{"last_position", oidInt8},
	{"confirmed", oidInt8},
	{"data_age_ms", oidInt8},
	{"primary_heard_ms", oidInt8},
	{"sealed", oidInt8},
}

const schema = "marjoram."

// The names of the control functions.
var (
	fnStatus    = strings.TrimSuffix(group.FnStatus, "()")
	fnLastWrite = strings.TrimSuffix(group.FnLastWrite, "()")
)

var functions = map[string]function{
	fnStatus:               {columns: statusColumns},
	group.FnRequireData:    {params: []uint32{oidInt8, oidInt8, oidInt8}, columns: []column{{"require", oidText}}},
	group.FnRequirePrimary: {params: []uint32{oidInt8}, columns: []column{{"lead", oidText}}},
	group.FnOnce:           {params: []uint32{oidText, oidText}, columns: []column{{"once", oidText}}},
	fnLastWrite:            {columns: []column{{"term", oidInt8}, {"position", oidInt8}, {"confirmed", oidInt8}}},
	group.FnSeal:           {params: []uint32{oidInt8}, columns: statusColumns},
	group.FnPromote:        {params: []uint32{oidInt8}, columns: statusColumns},
	group.FnFollow:         {params: []uint32{oidInt8, oidText}, columns: []column{{"follow", oidText}}},
}

// selection parses the part after SELECT.
func (p *parser) selection() (*statement, error) {
	if p.symbol("*") {
		if p.word("from") {
			return p.from(&statement{verb: selectVerb, all: true})
		}
		return nil, p.unexpected()
	}
	if p.peek().kind != wordToken || slices.Contains([]string{"null", "true", "false"}, p.peek().text) {
		return p.literals()
	}
	n := p.name()
	if p.peek() == (lexeme{symbolToken, "("}) {
		return p.function(n)
	}
	s := &statement{verb: selectVerb, columns: []string{n}}
	for p.symbol(",") {
		s.columns = append(s.columns, p.name())
	}
	if slices.Contains(s.columns, "") || !p.word("from") {
		return nil, p.unexpected()
	}
	return p.from(s)
}

// from parses the part after FROM: a table with a condition, or a function.
func (p *parser) from(s *statement) (*statement, error) {
	s.table = p.name()
	if strings.HasPrefix(s.table, schema) && p.peek() == (lexeme{symbolToken, "("}) {
		if !s.all {
			return nil, fail(codeUnsupported, "only SELECT * is supported for functions")
		}
		return p.function(s.table)
	}
	if err := p.where(s); err != nil {
		return nil, err
	}
	if p.word("order") {
		p.skipOrder()
	}
	return s, nil
}

// skipOrder skips ORDER BY id. Rows are always returned in the order of
// insertion.
func (p *parser) skipOrder() {
	if p.word("by") {
		p.name()
	}
}

func (p *parser) function(name string) (*statement, error) {
	switch name {
	case "count":
		return p.count()
	case "pg_sleep":
		args, err := p.operandList()
		if err != nil {
			return nil, err
		}
		if len(args) != 1 {
			return nil, syntaxError("pg_sleep takes one argument")
		}
		return &statement{verb: sleepVerb, values: [][]operand{args}, columns: []string{"pg_sleep"}}, nil
	}
	f, known := functions[name]
	if !known {
		return nil, fail(codeUnsupported, "function %s is not supported", name)
	}
	args, err := p.arguments(f.params)
	if err != nil {
		return nil, err
	}
	return &statement{verb: functionVerb, name: name, values: [][]operand{args}}, nil
}

func (p *parser) arguments(types []uint32) ([]operand, error) {
	p.symbol("(")
	var out []operand
	for i, t := range types {
		if i > 0 && !p.symbol(",") {
			return nil, p.unexpected()
		}
		o, err := p.operand(t)
		if err != nil {
			return nil, err
		}
		out = append(out, o)
	}
	if !p.symbol(")") {
		return nil, p.unexpected()
	}
	return out, nil
}

func (p *parser) count() (*statement, error) {
	p.symbol("(")
	if !p.symbol("*") || !p.symbol(")") || !p.word("from") {
		return nil, p.unexpected()
	}
	s := &statement{verb: countVerb, table: p.name()}
	return s, p.where(s)
}

func (p *parser) literals() (*statement, error) {
	s := &statement{verb: literalVerb}
	var row []operand
	for {
		o, err := p.operand(oidText)
		if err != nil {
			return nil, err
		}
		name := "?column?"
		if p.word("as") {
			name = p.name()
		}
		row = append(row, o)
		s.columns = append(s.columns, name)
		if !p.symbol(",") {
			break
		}
	}
	s.values = [][]operand{row}
	return s, nil
}
