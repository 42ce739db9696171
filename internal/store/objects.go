package store

import (
	"bytes"
	"context"
	"fmt"
	"io"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/aws/smithy-go"
	"github.com/cockroachdb/errors"
)

// maxObjectBytes limits how much of an object is read.
const maxObjectBytes = 8 << 20

// objects reads and writes the object store. Objects are immutable.
type objects struct {
	client *s3.Client
	bucket string
	retry  retryPolicy
}

// putIfAbsent stores an object whose key contains the digest of its content. An
// object that already exists under the key is therefore the same one.
func (o objects) putIfAbsent(ctx context.Context, key string, content []byte) error {
	_, err := call(ctx, o.retry, "PutObject", func(ctx context.Context) (*s3.PutObjectOutput, error) {
		out, err := o.client.PutObject(ctx, &s3.PutObjectInput{
			Bucket:      aws.String(o.bucket),
			Key:         aws.String(key),
			Body:        bytes.NewReader(content),
			IfNoneMatch: aws.String("*"),
		})
		var api smithy.APIError
		if errors.As(err, &api) && api.ErrorCode() == "PreconditionFailed" {
			return out, nil
		}
		return out, err
	})
	return err
}

func (o objects) get(ctx context.Context, key string) ([]byte, error) {
	return call(ctx, o.retry, "GetObject", func(ctx context.Context) ([]byte, error) {
		out, err := o.client.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String(o.bucket), Key: aws.String(key)})
		var missing *types.NoSuchKey
		if errors.As(err, &missing) {
			return nil, fmt.Errorf("object %s: %w", key, ErrNotFound)
		}
		if err != nil {
			return nil, err
		}
		defer func() { _ = out.Body.Close() }()
		return io.ReadAll(io.LimitReader(out.Body, maxObjectBytes))
	})
}
