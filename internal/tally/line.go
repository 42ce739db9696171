// Package tally counts the statements that failed or missed their latency
// objective, by cause and by any field of their log lines, over the logs of
// many instances.
package tally

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// statementEvent is the name of the log lines that are counted.
const statementEvent = "Statement"

// Field is the name of a field of a log line, such as "Group" or "Home".
type Field string

// The fields that have a meaning of their own. All others are texts to count
// by.
const (
	fieldTime    Field = "time"
	fieldEvent   Field = "msg"
	fieldOutcome Field = "Outcome"
	fieldReason  Field = "Reason"
	fieldDetail  Field = "Detail"
	fieldTook    Field = "Took"
	fieldWaited  Field = "Waited"
)

// Line is the log line of one statement.
type Line struct {
	Time   time.Time
	Took   time.Duration // from the statement's arrival to its answer
	Waited time.Duration // in wait queues
	Fields map[Field]string
}

// parse decodes a log line. ok reports whether it is about a statement.
func parse(text []byte) (l Line, ok bool, err error) {
	var values map[Field]any
	if err := json.Unmarshal(text, &values); err != nil {
		return l, false, errors.Wrap(err, "decode log line")
	}
	if values[fieldEvent] != statementEvent {
		return l, false, nil
	}
	l.Fields = make(map[Field]string, len(values))
	for name, value := range values {
		if s, isText := value.(string); isText {
			l.Fields[name] = s
		}
	}
	if l.Time, err = time.Parse(time.RFC3339Nano, l.Fields[fieldTime]); err != nil {
		return l, false, errors.Wrap(err, "decode time")
	}
	if l.Took, err = time.ParseDuration(l.Fields[fieldTook]); err != nil {
		return l, false, errors.Wrap(err, "decode duration")
	}
	if l.Waited, err = time.ParseDuration(l.Fields[fieldWaited]); err != nil {
		return l, false, errors.Wrap(err, "decode waiting time")
	}
	return l, true, nil
}
