package plat

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

func (t *tables) getItem(body []byte) (any, error) {
	var c getCall
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	k, ok := c.Key.key()
	if !ok {
		return nil, errors.New("key needs PK and SK")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return itemResponse{Item: t.get(c.TableName, k)}, nil
}

func (t *tables) query(body []byte) (any, error) {
	var c queryCall
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	keyCondition, err := parse(c.KeyConditionExpression, c.ExpressionAttributeNames, c.ExpressionAttributeValues)
	if err != nil {
		return nil, err
	}
	partition, ok := partitionOf(keyCondition)
	if !ok {
		return nil, errors.New("key condition needs PK = value")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.page(t.sorted(c.TableName, partition, c.forward()), keyCondition, c), nil
}

// page returns the rows after the start key that satisfy the key condition, up
// to the limit.
func (t *tables) page(rows []item, keyCondition condition, c queryCall) queryResponse {
	limit := t.pageRows
	if c.Limit > 0 {
		limit = min(limit, c.Limit)
	}
	response := queryResponse{Items: []item{}}
	for _, row := range rows {
		if !c.after(row) || !keyCondition.matches(row) {
			continue
		}
		if len(response.Items) == limit {
			last := response.Items[limit-1]
			response.LastEvaluatedKey = item{partitionName: last[partitionName], sortName: last[sortName]}
			break
		}
		response.Items = append(response.Items, row)
	}
	response.Count = len(response.Items)
	return response
}

func (t *tables) writeItem(body []byte) (any, error) {
	var w write
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	k, existing, ok, err := t.check(w)
	if err != nil {
		return nil, err
	}
	if !ok {
		e := &tableError{Type: "ConditionalCheckFailedException", Message: "The conditional request failed"}
		if w.ReturnValuesOnConditionCheckFailure == "ALL_OLD" {
			e.Item = existing
		}
		return nil, e
	}
	t.apply(w, k)
	return itemResponse{}, nil
}

func (t *tables) transact(body []byte) (any, error) {
	var c transaction
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	writes, err := c.writes()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.checkAll(writes); err != nil {
		return nil, err
	}
	for _, w := range writes {
		k, _ := w.key()
		t.apply(w, k)
	}
	return itemResponse{}, nil
}

// writes returns the writes of the transaction.
func (c transaction) writes() ([]write, error) {
	var writes []write
	for _, i := range c.TransactItems {
		switch {
		case i.Put != nil:
			writes = append(writes, *i.Put)
		case i.Delete != nil:
			writes = append(writes, *i.Delete)
		default:
			return nil, errors.New("only Put and Delete are supported")
		}
	}
	return writes, nil
}

// checkAll checks the conditions of all writes. If any fails, it returns an
// error with a reason for each write.
func (t *tables) checkAll(writes []write) error {
	cancelled := false
	reasons := make([]cancellationReason, len(writes))
	for i, w := range writes {
		_, _, ok, err := t.check(w)
		if err != nil {
			return err
		}
		reasons[i] = cancellationReason{Code: "None"}
		if !ok {
			reasons[i] = cancellationReason{"ConditionalCheckFailed", "The conditional request failed"}
			cancelled = true
		}
	}
	if !cancelled {
		return nil
	}
	return &tableError{Type: "TransactionCanceledException", Message: "Transaction cancelled", Reasons: reasons}
}

// check returns the key of a write, the existing row and whether the write's
// condition holds.
func (t *tables) check(w write) (k key, existing item, ok bool, err error) {
	k, ok = w.key()
	if !ok {
		return k, nil, false, errors.New("row needs PK and SK")
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
	existing = t.get(w.TableName, k)
	return k, existing, c.matches(existing), nil
}

func (t *tables) apply(w write, k key) {
	if w.Item == nil {
		t.remove(w.TableName, k)
		return
	}
	t.put(w.TableName, k, w.Item)
}
