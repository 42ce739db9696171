package endpt

import "strconv"

// Types of columns and parameters.
const (
	oidInt8 = 20
	oidInt4 = 23
	oidText = 25
)

// verb says what a statement does. Its text is the kind in the counters.
type verb string

const (
	emptyVerb      verb = "empty"
	insertVerb     verb = "insert"
	selectVerb     verb = "select"
	countVerb      verb = "count"
	literalVerb    verb = "literal"
	updateVerb     verb = "update"
	deleteVerb     verb = "delete"
	sleepVerb      verb = "sleep"
	beginVerb      verb = "begin"
	commitVerb     verb = "commit"
	rollbackVerb   verb = "rollback"
	setVerb        verb = "set"
	showVerb       verb = "show"
	resetVerb      verb = "reset"
	resetAllVerb   verb = "reset all"
	discardVerb    verb = "discard"
	deallocateVerb verb = "deallocate"
	functionVerb   verb = "function"
	// setTransactionVerb makes the running transaction read-only.
	setTransactionVerb verb = "set transaction"
)

// operand is a literal or, with param above zero, a parameter.
type operand struct {
	param int
	text  string
	null  bool
	oid   uint32
}

type assignment struct {
	column string
	value  operand
	// from names the column that sign times value is added to.
	from string
	sign int64
}

type filter struct {
	column string
	value  operand
}

// statement is one parsed SQL statement.
type statement struct {
	verb      verb
	table     string
	columns   []string // of an insert, or of the result
	all       bool     // SELECT * or RETURNING *
	values    [][]operand
	returning []string
	sets      []assignment
	where     *filter
	name      string // of a setting, a prepared statement or a function
	readOnly  bool
	local     bool     // SET LOCAL
	params    []uint32 // types of the parameters
	text      string
}

// takesSlot reports whether the statement waits for a slot and takes service
// time. Control functions and transaction control do not.
func (s *statement) takesSlot() bool {
	switch s.verb {
	case insertVerb, selectVerb, countVerb, literalVerb, updateVerb, deleteVerb, sleepVerb:
		return true
	}
	return false
}

func (s *statement) reads() bool { return s.verb == selectVerb || s.verb == countVerb }

func (s *statement) writes() bool {
	return s.verb == insertVerb || s.verb == updateVerb || s.verb == deleteVerb
}

// bind replaces a parameter by its value.
func (o operand) bind(args []*string) (*string, error) {
	if o.param == 0 {
		if o.null {
			return nil, nil
		}
		t := o.text
		return &t, nil
	}
	if o.param > len(args) {
		return nil, fail(codeProtocol, "there is no parameter $%d", o.param)
	}
	return args[o.param-1], nil
}

func (o operand) integer(args []*string) (int64, error) {
	v, err := o.bind(args)
	if err != nil {
		return 0, err
	}
	if v == nil {
		return 0, fail(codeBadValue, "null is no number")
	}
	n, perr := strconv.ParseInt(*v, 10, 64)
	if perr != nil {
		return 0, fail(codeBadValue, "%q is no number", *v)
	}
	return n, nil
}
