package plat

import (
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
)

// condition is a parsed condition expression.
type condition interface {
	holds(i item) bool
}

type (
	all    []condition
	oneOf  []condition
	exists struct {
		name string
		want bool
	}
	comparison struct {
		name  string
		op    string
		value attribute
	}
	prefix struct{ name, start string }
)

func (a all) holds(i item) bool {
	for _, c := range a {
		if !c.holds(i) {
			return false
		}
	}
	return true
}

func (o oneOf) holds(i item) bool {
	for _, c := range o {
		if c.holds(i) {
			return true
		}
	}
	return false
}

func (e exists) holds(i item) bool {
	_, ok := i[e.name]
	return ok == e.want
}

func (c comparison) holds(i item) bool {
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

func (p prefix) holds(i item) bool {
	v := i[p.name].S
	return v != nil && strings.HasPrefix(*v, p.start)
}

// errExpression reports an expression outside of the subset.
var errExpression = errors.New("expression is not understood")

var tokens = regexp.MustCompile(`\s*([#:]?\w+|<>|<=|>=|[=<>(),])`)

// parser reads one expression by recursive descent.
type parser struct {
	left   []string
	names  map[string]string
	values map[string]attribute
}

// parse reads a condition expression. Empty text always holds.
func parse(text string, names map[string]string, values map[string]attribute) (condition, error) {
	p := &parser{names: names, values: values}
	rest := text
	for strings.TrimSpace(rest) != "" {
		m := tokens.FindStringSubmatchIndex(rest)
		if m == nil || m[0] != 0 {
			return nil, errors.Wrapf(errExpression, "at %q", rest)
		}
		p.left = append(p.left, rest[m[2]:m[3]])
		rest = rest[m[1]:]
	}
	if len(p.left) == 0 {
		return all{}, nil
	}
	c, err := p.disjunction()
	if err == nil && len(p.left) > 0 {
		err = errors.Wrapf(errExpression, "at %q", p.left[0])
	}
	return c, err
}

func (p *parser) next() string {
	if len(p.left) == 0 {
		return ""
	}
	t := p.left[0]
	p.left = p.left[1:]
	return t
}

func (p *parser) take(token string) bool {
	if len(p.left) == 0 || !strings.EqualFold(p.left[0], token) {
		return false
	}
	p.left = p.left[1:]
	return true
}

func (p *parser) expect(token string) error {
	if !p.take(token) {
		return errors.Wrapf(errExpression, "%q is missing", token)
	}
	return nil
}

func (p *parser) disjunction() (condition, error) {
	var o oneOf
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
	var a all
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
		return nil, errors.Wrap(errExpression, "begins_with needs text")
	}
	return prefix{name, *v.S}, p.expect(")")
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
		return nil, errors.Wrapf(errExpression, "operator %q", op)
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
		return "", errors.Wrapf(errExpression, "name %q", t)
	}
	return name, nil
}

func (p *parser) value() (attribute, error) {
	t := p.next()
	v, ok := p.values[t]
	if !ok || !v.valid() {
		return attribute{}, errors.Wrapf(errExpression, "value %q", t)
	}
	return v, nil
}

// partitionOf returns the partition that a key condition asks for.
func partitionOf(c condition) (string, bool) {
	switch c := c.(type) {
	case oneOf:
		if len(c) == 1 {
			return partitionOf(c[0])
		}
	case all:
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
