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

// tableError is an error answer of the table service.
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

// expression is the condition part of several calls.
type expression struct {
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues map[string]attribute
}

func (e expression) condition() (condition, error) {
	return parse(e.ConditionExpression, e.ExpressionAttributeNames, e.ExpressionAttributeValues)
}

// write is a conditional write of one row: a put when Item is set, else a
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

// after reports whether the row comes after the start key of the page.
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

type itemAnswer struct {
	Item item `json:",omitempty"`
}

type queryAnswer struct {
	Items            []item
	Count            int
	LastEvaluatedKey item `json:",omitempty"`
}

// serveTable answers one call of the table service.
func (s *Server) serveTable(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxCallBytes))
	if err != nil || !s.admit(w, r) {
		return
	}
	operation, _ := strings.CutPrefix(r.Header.Get(targetHeader), targetPrefix)
	switch operation {
	case "GetItem":
		s.answerRead(w, body, s.tables.getItem)
	case "Query":
		s.answerRead(w, body, s.tables.query)
	case "PutItem", "DeleteItem":
		s.answerTableWrite(w, operation, body, s.tables.writeItem)
	case "TransactWriteItems":
		s.answerTableWrite(w, operation, body, s.tables.transact)
	default:
		answerTable(w, nil, &tableError{Type: "UnknownOperationException", Message: operation})
	}
}

type runner func(body []byte) (any, error)

func (s *Server) answerRead(w http.ResponseWriter, body []byte, run runner) {
	s.counters.add(func(c *Counters) { c.Reads++ })
	answer, err := run(body)
	answerTable(w, answer, err)
}

func (s *Server) answerTableWrite(w http.ResponseWriter, operation string, body []byte, run runner) {
	answer, err := run(body)
	s.answerWrite(operation, func() { answerTable(w, answer, err) })
}

func answerTable(w http.ResponseWriter, answer any, err error) {
	w.Header().Set("Content-Type", tableType)
	if err == nil {
		_ = json.NewEncoder(w).Encode(answer)
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

func (t *tables) getItem(body []byte) (any, error) {
	var c getCall
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	k, ok := c.Key.key()
	if !ok {
		return nil, errors.New("the key needs PK and SK")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return itemAnswer{Item: t.get(c.TableName, k)}, nil
}

func (t *tables) query(body []byte) (any, error) {
	var c queryCall
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	keyed, err := parse(c.KeyConditionExpression, c.ExpressionAttributeNames, c.ExpressionAttributeValues)
	if err != nil {
		return nil, err
	}
	partition, ok := partitionOf(keyed)
	if !ok {
		return nil, errors.New("the key condition needs PK = value")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.page(t.sorted(c.TableName, partition, c.forward()), keyed, c), nil
}

func (t *tables) page(rows []item, keyed condition, c queryCall) queryAnswer {
	limit := t.pageRows
	if c.Limit > 0 {
		limit = min(limit, c.Limit)
	}
	answer := queryAnswer{Items: []item{}}
	for _, row := range rows {
		if !c.after(row) || !keyed.holds(row) {
			continue
		}
		if len(answer.Items) == limit {
			last := answer.Items[limit-1]
			answer.LastEvaluatedKey = item{partitionName: last[partitionName], sortName: last[sortName]}
			break
		}
		answer.Items = append(answer.Items, row)
	}
	answer.Count = len(answer.Items)
	return answer
}

func (t *tables) writeItem(body []byte) (any, error) {
	var w write
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	k, standing, ok, err := t.check(w)
	if err != nil {
		return nil, err
	}
	if !ok {
		e := &tableError{Type: "ConditionalCheckFailedException", Message: "The conditional request failed"}
		if w.ReturnValuesOnConditionCheckFailure == "ALL_OLD" {
			e.Item = standing
		}
		return nil, e
	}
	t.apply(w, k)
	return itemAnswer{}, nil
}

func (t *tables) transact(body []byte) (any, error) {
	var c transaction
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var writes []write
	var keys []key
	cancelled := false
	reasons := make([]cancellationReason, len(c.TransactItems))
	for i, one := range c.TransactItems {
		w := one.Put
		if w == nil {
			w = one.Delete
		}
		if w == nil {
			return nil, errors.New("only Put and Delete are understood")
		}
		k, _, ok, err := t.check(*w)
		if err != nil {
			return nil, err
		}
		reasons[i].Code = "None"
		if !ok {
			reasons[i] = cancellationReason{"ConditionalCheckFailed", "The conditional request failed"}
			cancelled = true
		}
		writes, keys = append(writes, *w), append(keys, k)
	}
	if cancelled {
		return nil, &tableError{Type: "TransactionCanceledException", Message: "Transaction cancelled", Reasons: reasons}
	}
	for i, w := range writes {
		t.apply(w, keys[i])
	}
	return itemAnswer{}, nil
}

// check returns the row that a write meets and whether its condition holds.
func (t *tables) check(w write) (k key, standing item, ok bool, err error) {
	k, ok = w.key()
	if !ok {
		return k, nil, false, errors.New("the row needs PK and SK")
	}
	for name, a := range w.Item {
		if !a.valid() {
			return k, nil, false, errors.Newf("attribute %s is neither S nor N", name)
		}
	}
	c, err := w.condition()
	if err != nil {
		return k, nil, false, err
	}
	standing = t.get(w.TableName, k)
	return k, standing, c.holds(standing), nil
}

func (t *tables) apply(w write, k key) {
	if w.Item == nil {
		t.remove(w.TableName, k)
		return
	}
	t.put(w.TableName, k, w.Item)
}
