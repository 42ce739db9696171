package lines

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// maxStatements is how many statements a transaction has at most.
	maxStatements = 12
	// txPause is the mean pause between two statements of a transaction, maxTxPause the
	// longest one. It is close to the time after which a transaction may be ended.
	txPause    = 350 * time.Millisecond
	maxTxPause = 2800 * time.Millisecond
	// sharedItems is how many items all workers of a group write to.
	sharedItems = 60
)

// ending is how a transaction ends.
type ending uint8

const (
	commits ending = iota
	rollsBack
	leaves // the caller closes the connection
)

// statementPlan is one statement of an operation. Its text contains the data of each
// try.
type statementPlan struct {
	format string // with one verb for the data of a write, or none
	write  bool
	pause  time.Duration // before it
}

// operation is one operation of a caller: a transaction, or a single statement.
type operation struct {
	begin      string // empty for a single statement
	statements []statementPlan
	ending     ending
}

// The names that sessions set and prepare. They are few, so that they collide.
var (
	valueNames    = []string{"v1", "v2", "v3"}
	preparedNames = []string{"s1", "s2", "s3"}
	shapes        = []string{"q1", "q2", "q3", "q4"}
)

// drawOperation draws an operation of a session with the prepared statements.
func drawOperation(random *rand.Rand, prepared map[string]string) operation {
	if random.Float64() < 0.4 {
		return operation{statements: []statementPlan{drawStatement(random, prepared, false)}}
	}
	o := operation{begin: "BEGIN"}
	readOnly := random.Float64() < 0.25
	if readOnly {
		o.begin = "BEGIN READ"
	}
	for range 1 + random.IntN(maxStatements) {
		s := drawStatement(random, prepared, readOnly)
		s.pause = min(maxTxPause, time.Duration(random.ExpFloat64()*float64(txPause)))
		o.statements = append(o.statements, s)
	}
	switch p := random.Float64(); {
	case p < 0.12:
		o.ending = rollsBack
	case p < 0.2:
		o.ending = leaves
	}
	return o
}

// drawStatement draws a read or a write, plain or prepared.
func drawStatement(random *rand.Rand, prepared map[string]string, readOnly bool) statementPlan {
	item := fmt.Sprintf("shared-%d", random.IntN(sharedItems))
	if name := preparedNames[random.IntN(len(preparedNames))]; random.Float64() < 0.4 && prepared[name] != "" {
		if strings.HasPrefix(prepared[name], "READ") {
			return statementPlan{format: "EXECUTE " + name + " " + item}
		}
		if !readOnly {
			return statementPlan{format: "EXECUTE " + name + " " + item + " %s", write: true}
		}
	}
	if readOnly || random.Float64() < 0.5 {
		return statementPlan{format: "READ " + item}
	}
	return statementPlan{format: "WRITE " + item + " %s", write: true}
}

// text returns the statement with the data of one try.
func (s statementPlan) text(data string) string {
	if s.write {
		return fmt.Sprintf(s.format, data)
	}
	return s.format
}

// drawSetting draws a statement that changes the session: a value or a prepared
// statement.
func drawSetting(random *rand.Rand) string {
	if random.Float64() < 0.4 {
		return fmt.Sprintf("SET %s y%d", valueNames[random.IntN(len(valueNames))], random.IntN(8))
	}
	access := "READ"
	if random.Float64() < 0.5 {
		access = "WRITE"
	}
	return fmt.Sprintf("PREPARE %s %s %s", preparedNames[random.IntN(len(preparedNames))], access, shapes[random.IntN(len(shapes))])
}
