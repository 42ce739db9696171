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

// rowMissing is the condition that the row does not exist.
const rowMissing = "attribute_not_exists(#PK)"

var namePlaceholder = regexp.MustCompile(`#[A-Za-z]+`)

// attributeNames resolves the #Name placeholders of an expression. Placeholders
// avoid clashes with the reserved words of the table service.
func attributeNames(expression string) map[string]string {
	resolved := map[string]string{}
	for _, p := range namePlaceholder.FindAllString(expression, -1) {
		resolved[p] = p[1:]
	}
	return resolved
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

func (r row) getDigits(name string) string {
	v, _ := r[name].(*types.AttributeValueMemberN)
	if v == nil {
		return ""
	}
	return v.Value
}

func (r row) getNumber(name string) uint64 {
	n, _ := strconv.ParseUint(r.getDigits(name), 10, 64)
	return n
}

func (r row) getSigned(name string) int64 {
	n, _ := strconv.ParseInt(r.getDigits(name), 10, 64)
	return n
}

func (r row) getDuration(name string) time.Duration { return time.Duration(r.getSigned(name)) }

// partitionFor returns the partition key of the rows of one kind in an
// environment.
func partitionFor(env ident.Environment, kind string) string {
	return fmt.Sprintf("%s#%s", env, kind)
}

// table reads and writes the table service.
type table struct {
	client *dynamodb.Client
	name   string
	retry  retryPolicy
}

// get reads one row with strong consistency.
func (t table) get(ctx context.Context, name, partition, sort string) (row, error) {
	return call(ctx, t.retry, name, func(ctx context.Context) (row, error) {
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

// rowQuery selects rows of one partition.
type rowQuery struct {
	partition  string
	prefix     string // of the sort key; empty for all
	descending bool
	limit      int // zero for all
}

// query reads the selected rows with strong consistency, one page at a time.
func (t table) query(ctx context.Context, name string, q rowQuery) ([]row, error) {
	var rows []row
	var startKey row
	for {
		out, err := t.queryPage(ctx, name, q, startKey)
		if err != nil {
			return nil, err
		}
		for _, item := range out.Items {
			rows = append(rows, item)
		}
		if q.limit > 0 && len(rows) >= q.limit {
			return rows[:q.limit], nil
		}
		if len(out.LastEvaluatedKey) == 0 {
			return rows, nil
		}
		startKey = out.LastEvaluatedKey
	}
}

func (t table) queryPage(ctx context.Context, name string, q rowQuery, startKey row) (*dynamodb.QueryOutput, error) {
	return call(ctx, t.retry, name, func(ctx context.Context) (*dynamodb.QueryOutput, error) {
		return t.client.Query(ctx, t.queryInput(q, startKey))
	})
}

func (t table) queryInput(q rowQuery, startKey row) *dynamodb.QueryInput {
	condition := "#PK = :partition"
	values := row{}.text(":partition", q.partition)
	if q.prefix != "" {
		condition += " AND begins_with(#SK, :prefix)"
		values.text(":prefix", q.prefix)
	}
	in := &dynamodb.QueryInput{
		TableName:                 aws.String(t.name),
		ConsistentRead:            aws.Bool(true),
		ScanIndexForward:          aws.Bool(!q.descending),
		ExclusiveStartKey:         startKey,
		KeyConditionExpression:    aws.String(condition),
		ExpressionAttributeNames:  attributeNames(condition),
		ExpressionAttributeValues: values,
	}
	if q.limit > 0 {
		in.Limit = aws.Int32(int32(min(q.limit, maxPageRows)))
	}
	return in
}

const maxPageRows = 1000

// put writes a row if the condition holds. On a conflict it returns the
// existing row, if any.
func (t table) put(ctx context.Context, name string, item row, condition string, values row) (row, error) {
	return call(ctx, t.retry, name, func(ctx context.Context) (row, error) {
		in := &dynamodb.PutItemInput{
			TableName:                           aws.String(t.name),
			Item:                                item,
			ConditionExpression:                 aws.String(condition),
			ExpressionAttributeNames:            attributeNames(condition),
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

// remove deletes a row. It is not an error if the row does not exist.
func (t table) remove(ctx context.Context, name, partition, sort string) error {
	_, err := call(ctx, t.retry, name, func(ctx context.Context) (*dynamodb.DeleteItemOutput, error) {
		return t.client.DeleteItem(ctx, &dynamodb.DeleteItemInput{
			TableName: aws.String(t.name),
			Key:       newRow(partition, sort),
		})
	})
	return err
}

// transact writes either all rows or none.
func (t table) transact(ctx context.Context, name string, puts []types.Put) error {
	var items []types.TransactWriteItem
	for _, p := range puts {
		p.TableName = aws.String(t.name)
		p.ExpressionAttributeNames = attributeNames(aws.ToString(p.ConditionExpression))
		items = append(items, types.TransactWriteItem{Put: &p})
	}
	_, err := call(ctx, t.retry, name, func(ctx context.Context) (*dynamodb.TransactWriteItemsOutput, error) {
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
