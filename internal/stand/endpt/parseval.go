package endpt

import "strconv"

const maxParams = 1000

// operand parses a literal or a parameter; oid is the type of a parameter.
func (p *parser) operand(oid uint32) (operand, error) {
	l := p.next()
	o := operand{text: l.text, oid: oidText}
	switch {
	case l.kind == paramToken:
		n, err := strconv.Atoi(l.text)
		if err != nil || n < 1 || n > maxParams {
			return o, syntaxError("bad parameter $%s", l.text)
		}
		o.param, o.oid = n, oid
		p.declare(n, oid)
	case l.kind == textToken:
	case l.kind == numberToken:
		o.oid = oidInt4
	case l == lexeme{symbolToken, "-"} && p.peek().kind == numberToken:
		o.text, o.oid = "-"+p.next().text, oidInt4
	case l == lexeme{wordToken, "null"}:
		o.null = true
	case l == lexeme{wordToken, "true"} || l == lexeme{wordToken, "false"}:
	default:
		p.at--
		return o, p.unexpected()
	}
	p.cast()
	return o, nil
}

func (p *parser) cast() {
	for p.symbol("::") {
		p.name()
	}
}

func (p *parser) declare(n int, oid uint32) {
	for len(p.params) < n {
		p.params = append(p.params, oidText)
	}
	p.params[n-1] = oid
}

func (p *parser) name() string {
	if p.peek().kind != wordToken {
		return ""
	}
	n := p.next().text
	for p.peek() == (lexeme{symbolToken, "."}) {
		p.at++
		n += "." + p.next().text
	}
	return n
}

func (p *parser) peek() lexeme {
	if p.at < len(p.in) {
		return p.in[p.at]
	}
	return lexeme{}
}

func (p *parser) next() lexeme {
	l := p.peek()
	p.at++
	return l
}

func (p *parser) word(text string) bool { return p.accept(lexeme{wordToken, text}) }

func (p *parser) symbol(text string) bool { return p.accept(lexeme{symbolToken, text}) }

func (p *parser) accept(l lexeme) bool {
	if p.at < len(p.in) && p.in[p.at] == l {
		p.at++
		return true
	}
	return false
}

func (p *parser) skipRest() { p.at = len(p.in) }

func (p *parser) unexpected() error {
	if p.at < len(p.in) {
		return syntaxError("syntax error at or near %q", p.in[p.at].text)
	}
	return syntaxError("syntax error at end of input")
}
