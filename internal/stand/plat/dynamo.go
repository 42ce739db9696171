package plat

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	targetHeader = "X-Amz-Target"
	targetPrefix = "DynamoDB_20120810."
	tableType    = "application/x-amz-json-1.0"
	errorPrefix  = "com.amazonaws.dynamodb.v20120810#"
	maxCallBytes = 4 << 20
)

// tableError is an error response of the table service.
type tableError struct {
	Type    string               `json:"__type"`
	Message string               `json:"message"`
	Item    item                 `json:",omitempty"`
	Reasons []cancellationReason `json:"CancellationReasons,omitempty"`
}

// Error implements error.
func (e *tableError) Error() string { return e.Type + ": " + e.Message }

type cancellationReason struct{ Code, Message string }

func invalid(err error) *tableError {
	return &tableError{Type: "ValidationException", Message: err.Error()}
}

// expression holds the condition fields that several calls share.
type expression struct {
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues map[string]attribute
}

func (e expression) condition() (condition, error) {
	return parse(e.ConditionExpression, e.ExpressionAttributeNames, e.ExpressionAttributeValues)
}

// write is a conditional write of one row: a put if Item is set, otherwise a
// deletion of Key.
type write struct {
	expression
	TableName                           string
	Item                                item
	Key                                 item
	ReturnValuesOnConditionCheckFailure string
}

func (w write) key() (key, bool) {
	if w.Item != nil {
		return w.Item.key()
	}
	return w.Key.key()
}

type transaction struct {
	TransactItems []struct {
		Put    *write
		Delete *write
	}
}

type getCall struct {
	TableName string
	Key       item
}

type queryCall struct {
	expression
	TableName              string
	KeyConditionExpression string
	ScanIndexForward       *bool
	Limit                  int
	ExclusiveStartKey      item
}

func (c queryCall) forward() bool { return c.ScanIndexForward == nil || *c.ScanIndexForward }

// after reports whether a row follows the exclusive start key of the page.
func (c queryCall) after(row item) bool {
	start, ok := c.ExclusiveStartKey.key()
	if !ok {
		return true
	}
	k, _ := row.key()
	if c.forward() {
		return k.sort > start.sort
	}
	return k.sort < start.sort
}

type itemResponse struct {
	Item item `json:",omitempty"`
}

type queryResponse struct {
	Items            []item
	Count            int
	LastEvaluatedKey item `json:",omitempty"`
}

// serveTable handles one call of the table service.
func (s *Server) serveTable(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxCallBytes))
	if err != nil || !s.admit(w, r) {
		return
	}
	operation, _ := strings.CutPrefix(r.Header.Get(targetHeader), targetPrefix)
	switch operation {
	case "GetItem":
		s.serveRead(w, body, s.tables.getItem)
	case "Query":
		s.serveRead(w, body, s.tables.query)
	case "PutItem", "DeleteItem":
		s.serveTableWrite(w, operation, body, s.tables.writeItem)
	case "TransactWriteItems":
		s.serveTableWrite(w, operation, body, s.tables.transact)
	default:
		writeTableResponse(w, nil, &tableError{Type: "UnknownOperationException", Message: operation})
	}
}

// runner executes the call in a request body and returns the response body.
type runner func(body []byte) (any, error)

func (s *Server) serveRead(w http.ResponseWriter, body []byte, run runner) {
	s.counters.add(func(c *Counters) { c.Reads++ })
	response, err := run(body)
	writeTableResponse(w, response, err)
}

func (s *Server) serveTableWrite(w http.ResponseWriter, operation string, body []byte, run runner) {
	response, err := run(body)
	s.respondToWrite(operation, func() { writeTableResponse(w, response, err) })
}

func writeTableResponse(w http.ResponseWriter, response any, err error) {
	w.Header().Set("Content-Type", tableType)
	if err == nil {
		_ = json.NewEncoder(w).Encode(response)
		return
	}
	var e *tableError
	if !errors.As(err, &e) {
		e = invalid(err)
	}
	e.Type = errorPrefix + e.Type
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(e)
}
