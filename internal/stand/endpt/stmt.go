package endpt

import "strconv"

// Type OIDs of columns and parameters.
const (
	oidInt8 = 20
	oidInt4 = 23
	oidText = 25
)

// verb is the kind of a statement. Its text is the kind in the counters.
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

// operand is a literal, or a parameter if param is above zero.
type operand struct {
	param int
	text  string
	null  bool
	oid   uint32
}

type assignment struct {
	column string
	value  operand
	// from names the column to which sign times value is added.
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
	columns   []string // columns of an insert, or of the result
	all       bool     // SELECT * or RETURNING *
	values    [][]operand
	returning []string
	sets      []assignment
	where     *filter
	name      string // name of a setting, a prepared statement or a function
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

// bind returns the value of the operand, given the arguments of the statement.
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
		return 0, fail(codeBadValue, "null is not a number")
	}
	n, perr := strconv.ParseInt(*v, 10, 64)
	if perr != nil {
		return 0, fail(codeBadValue, "%q is not a number", *v)
	}
	return n, nil
}
