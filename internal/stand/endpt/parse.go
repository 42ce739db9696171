package endpt

import (
	"strings"
)

// parser parses the SQL subset by recursive descent over lexemes.
type parser struct {
	in     []lexeme
	at     int
	params []uint32
}

// parse splits text at semicolons and parses each statement.
func parse(text string) ([]*statement, error) {
	in, err := lex(text)
	if err != nil {
		return nil, err
	}
	var out []*statement
	for len(in) > 0 {
		n := 0
		for n < len(in) && in[n] != (lexeme{symbolToken, ";"}) {
			n++
		}
		if n > 0 {
			p := &parser{in: in[:n]}
			s, err := p.statement()
			if err != nil {
				return nil, err
			}
			s.params, s.text = p.params, text
			out = append(out, s)
		}
		in = in[min(n+1, len(in)):]
	}
	return out, nil
}

func (p *parser) statement() (*statement, error) {
	head := p.next()
	if head.kind != wordToken {
		return nil, syntaxError("syntax error at or near %q", head.text)
	}
	s, err := p.body(head.text)
	if err != nil {
		return nil, err
	}
	if p.at < len(p.in) {
		return nil, syntaxError("syntax error at or near %q", p.in[p.at].text)
	}
	return s, nil
}

func (p *parser) body(head string) (*statement, error) {
	switch head {
	case "insert":
		return p.insert()
	case "select":
		return p.selection()
	case "update":
		return p.update()
	case "delete":
		return p.remove()
	case "begin", "start":
		return p.begin(), nil
	case "commit", "end":
		p.skipRest()
		return &statement{verb: commitVerb}, nil
	case "rollback", "abort":
		return p.rollback()
	case "set":
		return p.set()
	case "show":
		name := p.name()
		return &statement{verb: showVerb, name: name, columns: []string{name}}, nil
	case "reset":
		if p.word("all") {
			return &statement{verb: resetAllVerb}, nil
		}
		return &statement{verb: resetVerb, name: p.name()}, nil
	case "discard":
		if !p.word("all") {
			return nil, fail(codeUnsupported, "only DISCARD ALL is supported")
		}
		return &statement{verb: discardVerb}, nil
	case "deallocate":
		p.word("prepare")
		return &statement{verb: deallocateVerb, name: p.next().text}, nil
	case "create", "drop", "alter", "copy", "listen", "notify", "declare", "fetch", "savepoint",
		"release", "lock", "truncate", "prepare", "execute", "with", "values", "table", "explain",
		"vacuum", "grant", "call", "do", "merge":
		return nil, fail(codeUnsupported, "%s is not supported", strings.ToUpper(head))
	}
	return nil, syntaxError("syntax error at or near %q", head)
}

func (p *parser) insert() (*statement, error) {
	s := &statement{verb: insertVerb}
	if !p.word("into") {
		return nil, p.unexpected()
	}
	s.table = p.name()
	cols, err := p.nameList()
	if err != nil {
		return nil, err
	}
	s.columns = cols
	if !p.word("values") {
		return nil, p.unexpected()
	}
	for {
		row, err := p.operandList()
		if err != nil {
			return nil, err
		}
		if len(row) != len(s.columns) {
			return nil, syntaxError("INSERT has %d columns but %d values", len(s.columns), len(row))
		}
		s.values = append(s.values, row)
		if !p.symbol(",") {
			break
		}
	}
	return s, p.returning(s)
}

func (p *parser) returning(s *statement) error {
	if !p.word("returning") {
		return nil
	}
	for {
		n := p.name()
		if n == "" {
			return p.unexpected()
		}
		s.returning = append(s.returning, n)
		if !p.symbol(",") {
			return nil
		}
	}
}

func (p *parser) nameList() ([]string, error) {
	if !p.symbol("(") {
		return nil, p.unexpected()
	}
	var out []string
	for {
		n := p.name()
		if n == "" {
			return nil, p.unexpected()
		}
		out = append(out, n)
		if p.symbol(")") {
			return out, nil
		}
		if !p.symbol(",") {
			return nil, p.unexpected()
		}
	}
}

func (p *parser) operandList() ([]operand, error) {
	if !p.symbol("(") {
		return nil, p.unexpected()
	}
	var out []operand
	if p.symbol(")") {
		return nil, nil
	}
	for {
		o, err := p.operand(oidText)
		if err != nil {
			return nil, err
		}
		out = append(out, o)
		if p.symbol(")") {
			return out, nil
		}
		if !p.symbol(",") {
			return nil, p.unexpected()
		}
	}
}

func (p *parser) update() (*statement, error) {
	s := &statement{verb: updateVerb, table: p.name()}
	if !p.word("set") {
		return nil, p.unexpected()
	}
	for {
		a, err := p.assignment()
		if err != nil {
			return nil, err
		}
		s.sets = append(s.sets, a)
		if !p.symbol(",") {
			break
		}
	}
	if err := p.where(s); err != nil {
		return nil, err
	}
	return s, p.returning(s)
}

func (p *parser) assignment() (assignment, error) {
	a := assignment{column: p.name()}
	if a.column == "" || !p.symbol("=") {
		return a, p.unexpected()
	}
	if p.peek().kind == wordToken && p.peek().text != "null" {
		a.from = p.name()
		switch {
		case p.symbol("+"):
			a.sign = 1
		case p.symbol("-"):
			a.sign = -1
		default:
			return a, p.unexpected()
		}
	}
	var err error
	a.value, err = p.operand(oidText)
	return a, err
}

func (p *parser) remove() (*statement, error) {
	if !p.word("from") {
		return nil, p.unexpected()
	}
	s := &statement{verb: deleteVerb, table: p.name()}
	if err := p.where(s); err != nil {
		return nil, err
	}
	return s, p.returning(s)
}

func (p *parser) where(s *statement) error {
	if s.table == "" {
		return p.unexpected()
	}
	if !p.word("where") {
		return nil
	}
	f := &filter{column: p.name()}
	if f.column == "" || !p.symbol("=") {
		return p.unexpected()
	}
	var err error
	f.value, err = p.operand(oidText)
	s.where = f
	return err
}

func (p *parser) begin() *statement {
	s := &statement{verb: beginVerb}
	for p.at < len(p.in) {
		if p.word("read") {
			s.readOnly = p.word("only") || s.readOnly
			continue
		}
		p.at++
	}
	return s
}

func (p *parser) rollback() (*statement, error) {
	if p.word("to") {
		return nil, fail(codeUnsupported, "savepoints are not supported")
	}
	p.skipRest()
	return &statement{verb: rollbackVerb}, nil
}

func (p *parser) set() (*statement, error) {
	local := !p.word("session") && p.word("local")
	s := &statement{verb: setVerb, name: p.name(), local: local}
	if s.name == "transaction" {
		return p.setTransaction()
	}
	if s.name == "characteristics" {
		return nil, fail(codeUnsupported, "SET SESSION CHARACTERISTICS is not supported")
	}
	if !p.symbol("=") && !p.word("to") {
		return nil, p.unexpected()
	}
	var parts []string
	for p.at < len(p.in) {
		parts = append(parts, p.next().text)
	}
	s.values = [][]operand{{{text: strings.Join(parts, " ")}}}
	return s, nil
}

// setTransaction parses SET TRANSACTION READ ONLY, the only supported form.
func (p *parser) setTransaction() (*statement, error) {
	if !p.word("read") || !p.word("only") {
		return nil, fail(codeUnsupported, "only SET TRANSACTION READ ONLY is supported")
	}
	return &statement{verb: setTransactionVerb, readOnly: true}, nil
}
