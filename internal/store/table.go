package store

import (
	"context"
	"fmt"
	"regexp"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// The key attributes of the table.
const (
	partitionKey = "PK"
	sortKey      = "SK"
)

// rowMissing is the condition that a write meets no row.
const rowMissing = "attribute_not_exists(#PK)"

var placeholder = regexp.MustCompile(`#[A-Za-z]+`)

// names resolves the #Name placeholders of an expression, which keep clear of
// the words that the table service reserves.
func names(expression string) map[string]string {
	found := map[string]string{}
	for _, p := range placeholder.FindAllString(expression, -1) {
		found[p] = p[1:]
	}
	return found
}

// row is one item of the table with typed access to its attributes.
type row map[string]types.AttributeValue

func newRow(partition, sort string) row {
	return row{}.text(partitionKey, partition).text(sortKey, sort)
}

func (r row) text(name, value string) row {
	r[name] = &types.AttributeValueMemberS{Value: value}
	return r
}

func (r row) number(name string, value uint64) row {
	r[name] = &types.AttributeValueMemberN{Value: strconv.FormatUint(value, 10)}
	return r
}

func (r row) signed(name string, value int64) row {
	r[name] = &types.AttributeValueMemberN{Value: strconv.FormatInt(value, 10)}
	return r
}

func (r row) getText(name string) string {
	v, _ := r[name].(*types.AttributeValueMemberS)
	if v == nil {
		return ""
	}
	return v.Value
}

func (r row) digits(name string) string {
	v, _ := r[name].(*types.AttributeValueMemberN)
	if v == nil {
		return ""
	}
	return v.Value
}

func (r row) getNumber(name string) uint64 {
	n, _ := strconv.ParseUint(r.digits(name), 10, 64)
	return n
}

func (r row) getSigned(name string) int64 {
	n, _ := strconv.ParseInt(r.digits(name), 10, 64)
	return n
}

func (r row) getSpan(name string) time.Duration { return time.Duration(r.getSigned(name)) }

// section names the rows of one kind of an environment.
func section(env ident.Environment, kind string) string {
	return fmt.Sprintf("%s#%s", env, kind)
}

// table reaches the table service.
type table struct {
	client *dynamodb.Client
	name   string
	caller caller
}

// get reads one row with strong consistency.
func (t table) get(ctx context.Context, name, partition, sort string) (row, error) {
	return call(ctx, t.caller, name, func(ctx context.Context) (row, error) {
		out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
			TableName:      aws.String(t.name),
			Key:            newRow(partition, sort),
			ConsistentRead: aws.Bool(true),
		})
		if err != nil {
			return nil, err
		}
		if len(out.Item) == 0 {
			return nil, ErrNotFound
		}
		return out.Item, nil
	})
}

// list selects rows of a section.
type list struct {
	partition  string
	prefix     string // of the sort key
	descending bool
	limit      int // zero for all
}

// query reads the selected rows with strong consistency, page by page.
func (t table) query(ctx context.Context, name string, l list) ([]row, error) {
	var rows []row
	var from row
	for {
		out, err := t.page(ctx, name, l, from)
		if err != nil {
			return nil, err
		}
		for _, item := range out.Items {
			rows = append(rows, item)
		}
		if l.limit > 0 && len(rows) >= l.limit {
			return rows[:l.limit], nil
		}
		if len(out.LastEvaluatedKey) == 0 {
			return rows, nil
		}
		from = out.LastEvaluatedKey
	}
}

func (t table) page(ctx context.Context, name string, l list, from row) (*dynamodb.QueryOutput, error) {
	return call(ctx, t.caller, name, func(ctx context.Context) (*dynamodb.QueryOutput, error) {
		return t.client.Query(ctx, t.queryInput(l, from))
	})
}

func (t table) queryInput(l list, from row) *dynamodb.QueryInput {
	condition := "#PK = :partition"
	values := row{}.text(":partition", l.partition)
	if l.prefix != "" {
		condition += " AND begins_with(#SK, :prefix)"
		values.text(":prefix", l.prefix)
	}
	in := &dynamodb.QueryInput{
		TableName:                 aws.String(t.name),
		ConsistentRead:            aws.Bool(true),
		ScanIndexForward:          aws.Bool(!l.descending),
		ExclusiveStartKey:         from,
		KeyConditionExpression:    aws.String(condition),
		ExpressionAttributeNames:  names(condition),
		ExpressionAttributeValues: values,
	}
	if l.limit > 0 {
		in.Limit = aws.Int32(int32(min(l.limit, maxPage)))
	}
	return in
}

const maxPage = 1000

// put writes a row under a condition. On a conflict it returns the row that
// stands in the way, if any.
func (t table) put(ctx context.Context, name string, fresh row, condition string, values row) (row, error) {
	return call(ctx, t.caller, name, func(ctx context.Context) (row, error) {
		in := &dynamodb.PutItemInput{
			TableName:                           aws.String(t.name),
			Item:                                fresh,
			ConditionExpression:                 aws.String(condition),
			ExpressionAttributeNames:            names(condition),
			ReturnValuesOnConditionCheckFailure: types.ReturnValuesOnConditionCheckFailureAllOld,
		}
		if len(values) > 0 {
			in.ExpressionAttributeValues = values
		}
		_, err := t.client.PutItem(ctx, in)
		var failed *types.ConditionalCheckFailedException
		if errors.As(err, &failed) {
			return failed.Item, ErrConflict
		}
		return nil, err
	})
}

// remove deletes a row; a missing row is no error.
func (t table) remove(ctx context.Context, name, partition, sort string) error {
	_, err := call(ctx, t.caller, name, func(ctx context.Context) (*dynamodb.DeleteItemOutput, error) {
		return t.client.DeleteItem(ctx, &dynamodb.DeleteItemInput{
			TableName: aws.String(t.name),
			Key:       newRow(partition, sort),
		})
	})
	return err
}

// transact writes all rows or none.
func (t table) transact(ctx context.Context, name string, puts []types.Put) error {
	var items []types.TransactWriteItem
	for _, p := range puts {
		p.TableName = aws.String(t.name)
		p.ExpressionAttributeNames = names(aws.ToString(p.ConditionExpression))
		items = append(items, types.TransactWriteItem{Put: &p})
	}
	_, err := call(ctx, t.caller, name, func(ctx context.Context) (*dynamodb.TransactWriteItemsOutput, error) {
		out, err := t.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
		var cancelled *types.TransactionCanceledException
		if errors.As(err, &cancelled) && conditionFailed(cancelled) {
			return nil, ErrConflict
		}
		return out, err
	})
	return err
}

func conditionFailed(e *types.TransactionCanceledException) bool {
	for _, r := range e.CancellationReasons {
		if aws.ToString(r.Code) == "ConditionalCheckFailed" {
			return true
		}
	}
	return false
}
