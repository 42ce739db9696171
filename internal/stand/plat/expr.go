package plat

import (
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
)

// condition is a parsed condition expression.
type condition interface {
	matches(i item) bool
}

type (
	allOf  []condition
	anyOf  []condition
	exists struct {
		name string
		want bool
	}
	comparison struct {
		name  string
		op    string
		value attribute
	}
	beginsWith struct{ name, start string }
)

func (a allOf) matches(i item) bool {
	for _, c := range a {
		if !c.matches(i) {
			return false
		}
	}
	return true
}

func (o anyOf) matches(i item) bool {
	for _, c := range o {
		if c.matches(i) {
			return true
		}
	}
	return false
}

func (e exists) matches(i item) bool {
	_, ok := i[e.name]
	return ok == e.want
}

func (c comparison) matches(i item) bool {
	v, ok := i[c.name]
	if !ok {
		return c.op == "<>"
	}
	order, ok := v.compare(c.value)
	if !ok {
		return c.op == "<>"
	}
	switch c.op {
	case "=":
		return order == 0
	case "<>":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	}
	return order >= 0
}

func (p beginsWith) matches(i item) bool {
	v := i[p.name].S
	return v != nil && strings.HasPrefix(*v, p.start)
}

// errExpression reports an invalid expression or one outside the supported
// subset.
var errExpression = errors.New("unsupported expression")

var tokens = regexp.MustCompile(`\s*([#:]?\w+|<>|<=|>=|[=<>(),])`)

// parser is a recursive descent parser for one expression.
type parser struct {
	remaining []string
	names     map[string]string
	values    map[string]attribute
}

// parse parses a condition expression. An empty expression matches every item.
func parse(text string, names map[string]string, values map[string]attribute) (condition, error) {
	p := &parser{names: names, values: values}
	rest := text
	for strings.TrimSpace(rest) != "" {
		m := tokens.FindStringSubmatchIndex(rest)
		if m == nil || m[0] != 0 {
			return nil, errors.Wrapf(errExpression, "at %q", rest)
		}
		p.remaining = append(p.remaining, rest[m[2]:m[3]])
		rest = rest[m[1]:]
	}
	if len(p.remaining) == 0 {
		return allOf{}, nil
	}
	c, err := p.disjunction()
	if err == nil && len(p.remaining) > 0 {
		err = errors.Wrapf(errExpression, "at %q", p.remaining[0])
	}
	return c, err
}

func (p *parser) next() string {
	if len(p.remaining) == 0 {
		return ""
	}
	t := p.remaining[0]
	p.remaining = p.remaining[1:]
	return t
}

func (p *parser) take(token string) bool {
	if len(p.remaining) == 0 || !strings.EqualFold(p.remaining[0], token) {
		return false
	}
	p.remaining = p.remaining[1:]
	return true
}

func (p *parser) expect(token string) error {
	if !p.take(token) {
		return errors.Wrapf(errExpression, "expected %q", token)
	}
	return nil
}

func (p *parser) disjunction() (condition, error) {
	var o anyOf
	for {
		c, err := p.conjunction()
		if err != nil {
			return nil, err
		}
		o = append(o, c)
		if !p.take("OR") {
			return o, nil
		}
	}
}

func (p *parser) conjunction() (condition, error) {
	var a allOf
	for {
		c, err := p.term()
		if err != nil {
			return nil, err
		}
		a = append(a, c)
		if !p.take("AND") {
			return a, nil
		}
	}
}

func (p *parser) term() (condition, error) {
	switch {
	case p.take("("):
		c, err := p.disjunction()
		if err != nil {
			return nil, err
		}
		return c, p.expect(")")
	case p.take("attribute_not_exists"):
		return p.existence(false)
	case p.take("attribute_exists"):
		return p.existence(true)
	case p.take("begins_with"):
		return p.beginsWith()
	}
	return p.comparison()
}

func (p *parser) existence(want bool) (condition, error) {
	if err := p.expect("("); err != nil {
		return nil, err
	}
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	return exists{name, want}, p.expect(")")
}

func (p *parser) beginsWith() (condition, error) {
	if err := p.expect("("); err != nil {
		return nil, err
	}
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	if err := p.expect(","); err != nil {
		return nil, err
	}
	v, err := p.value()
	if err != nil || v.S == nil {
		return nil, errors.Wrap(errExpression, "begins_with needs a string")
	}
	return beginsWith{name, *v.S}, p.expect(")")
}

func (p *parser) comparison() (condition, error) {
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	op := p.next()
	switch op {
	case "=", "<>", "<", "<=", ">", ">=":
	default:
		return nil, errors.Wrapf(errExpression, "unknown operator %q", op)
	}
	v, err := p.value()
	return comparison{name, op, v}, err
}

func (p *parser) name() (string, error) {
	t := p.next()
	if !strings.HasPrefix(t, "#") {
		return t, nil
	}
	name, ok := p.names[t]
	if !ok {
		return "", errors.Wrapf(errExpression, "undefined name %q", t)
	}
	return name, nil
}

func (p *parser) value() (attribute, error) {
	t := p.next()
	v, ok := p.values[t]
	if !ok || !v.valid() {
		return attribute{}, errors.Wrapf(errExpression, "undefined or invalid value %q", t)
	}
	return v, nil
}

// partitionOf returns the partition key that a key condition selects.
func partitionOf(c condition) (string, bool) {
	switch c := c.(type) {
	case anyOf:
		if len(c) == 1 {
			return partitionOf(c[0])
		}
	case allOf:
		for _, part := range c {
			if p, ok := partitionOf(part); ok {
				return p, true
			}
		}
	case comparison:
		if c.name == partitionName && c.op == "=" && c.value.S != nil {
			return *c.value.S, true
		}
	}
	return "", false
}
