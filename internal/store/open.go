package store

import (
	"net"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/s3"

	"github.com/marjoramrudder/marjoramrudder/internal/conf"
)

const (
	dialTimeout         = time.Second
	idleConnTimeout     = 90 * time.Second
	maxIdleConnsPerHost = 16
	maxConnsPerHost     = 64
)

// Platform holds the clients of the platform's services.
type Platform struct {
	Documents   Documents
	Leases      Leases
	Members     Members
	TermRecords TermRecords
	Directory   Directory

	transport *http.Transport
}

// Open returns the clients for the given settings. It makes no call, so a
// process can start while the platform is unavailable.
func Open(settings conf.Platform, options ...Option) (*Platform, error) {
	policy := retryPolicy{attempts: defaultAttempts, attemptTimeout: defaultAttemptTimeout}
	for _, o := range options {
		o(&policy)
	}
	transport := newTransport()
	client := &http.Client{Transport: transport}
	t := table{client: newTableClient(settings, client), name: settings.Table, retry: policy}
	o := objects{client: newObjectClient(settings, client), bucket: settings.Bucket, retry: policy}
	return &Platform{
		Documents:   &documents{table: t, objects: o},
		Leases:      &leases{table: t},
		Members:     &members{table: t},
		TermRecords: &termRecords{table: t},
		Directory:   &directory{client: client, url: settings.ListURL, retry: policy},
		transport:   transport,
	}, nil
}

// Close closes the idle connections. All calls must have ended before.
func (p *Platform) Close() error {
	p.transport.CloseIdleConnections()
	return nil
}

// Option configures how the platform is called.
type Option func(policy *retryPolicy)

// WithAttemptTimeout sets how long a call waits for its first attempt before it
// starts the second. The timeout doubles with each attempt.
func WithAttemptTimeout(timeout time.Duration) Option {
	return func(policy *retryPolicy) { policy.attemptTimeout = timeout }
}

// WithAttempts sets how often a call is attempted before it fails with
// ErrUnavailable.
func WithAttempts(attempts int) Option {
	return func(policy *retryPolicy) { policy.attempts = attempts }
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		MaxConnsPerHost:     maxConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
	}
}

func newTableClient(settings conf.Platform, client *http.Client) *dynamodb.Client {
	return dynamodb.New(dynamodb.Options{
		Region:       settings.Region,
		BaseEndpoint: aws.String(settings.TableURL),
		Credentials:  credentials.NewStaticCredentialsProvider(settings.AccessKey, settings.SecretKey, ""),
		HTTPClient:   client,
		Retryer:      aws.NopRetryer{},
	})
}

func newObjectClient(settings conf.Platform, client *http.Client) *s3.Client {
	return s3.New(s3.Options{
		Region:                     settings.Region,
		BaseEndpoint:               aws.String(settings.ObjectURL),
		Credentials:                credentials.NewStaticCredentialsProvider(settings.AccessKey, settings.SecretKey, ""),
		HTTPClient:                 client,
		Retryer:                    aws.NopRetryer{},
		UsePathStyle:               true,
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
}
