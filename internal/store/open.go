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
	dialTimeout     = time.Second
	idleConnTimeout = 90 * time.Second
	idlePerHost     = 16
	connsPerHost    = 64
)

// Platform bundles the ports to the platform of one set of settings.
type Platform struct {
	Documents   Documents
	Leases      Leases
	Members     Members
	TermRecords TermRecords
	Directory   Directory

	transport *http.Transport
}

// Open returns the ports to the platform. It makes no call yet, so that a
// process can start while the platform is out.
func Open(settings conf.Platform, options ...Option) (*Platform, error) {
	c := caller{tries: defaultTries, tryTimeout: defaultTryTimeout}
	for _, o := range options {
		o(&c)
	}
	transport := newTransport()
	client := &http.Client{Transport: transport}
	t := table{client: newTableClient(settings, client), name: settings.Table, caller: c}
	o := objects{client: newObjectClient(settings, client), bucket: settings.Bucket, caller: c}
	return &Platform{
		Documents:   &documents{table: t, objects: o},
		Leases:      &leases{table: t},
		Members:     &members{table: t},
		TermRecords: &reigns{table: t},
		Directory:   &directory{client: client, url: settings.ListURL, caller: c},
		transport:   transport,
	}, nil
}

// Close gives back the connections. Calls must have ended before.
func (p *Platform) Close() error {
	p.transport.CloseIdleConnections()
	return nil
}

// Option changes how the platform is called.
type Option func(c *caller)

// WithTryTimeout sets how long a call waits for its first try before it starts
// the second; the wait doubles with each try.
func WithTryTimeout(timeout time.Duration) Option {
	return func(c *caller) { c.tryTimeout = timeout }
}

// WithTries sets how often a call is tried before it is unavailable.
func WithTries(tries int) Option {
	return func(c *caller) { c.tries = tries }
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		MaxConnsPerHost:     connsPerHost,
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
