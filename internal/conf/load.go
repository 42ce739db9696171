package conf

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/strict"
)

// MaxBytes limits the size of a settings file.
const MaxBytes = 64 << 10

// The default values of fields that a file does not set.
const (
	DefaultRegion         = "local"
	DefaultTable          = "marjoramrudder"
	DefaultBucket         = "marjoramrudder"
	DefaultCallers        = 10_000
	DefaultQueueWait      = envdoc.Duration(500 * time.Millisecond)
	DefaultRequestTimeout = envdoc.Duration(10 * time.Second)
	DefaultDrainTimeout   = envdoc.Duration(30 * time.Second)
	DefaultLeaseLength    = envdoc.Duration(12 * time.Minute)
)

// Load reads and checks the settings of a proxy. If the file has problems, the
// error is a strict.FieldErrors that lists all of them.
func Load(path string) (*Settings, error) {
	return load(path, checkSettings)
}

// LoadOperator reads the settings of an operator's command. It accepts the same
// file as Load but requires only Environment, Platform and Peers.
func LoadOperator(path string) (*Settings, error) {
	return load(path, checkOperator)
}

// Parse parses and checks the text of a settings file. Problems name path as
// their file.
func Parse(path string, text []byte) (*Settings, error) {
	return parse(path, text, checkSettings)
}

func load(path string, check checkFunc) (*Settings, error) {
	text, err := strict.ReadFile(path, MaxBytes)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return parse(path, text, check)
}

func parse(path string, text []byte, check checkFunc) (*Settings, error) {
	var s Settings
	result := strict.Read(text, MaxBytes, &s)
	if !result.Unreadable() {
		check(&s, result.Report)
	}
	var problems strict.FieldErrors
	if errors.As(result.Err(), &problems) {
		return nil, problems.WithFile(path)
	}
	return &s, nil
}

// SetDefaults implements strict.Defaulter. A field that the file sets keeps its
// value, even if it is zero.
func (s *Settings) SetDefaults() {
	s.Platform = Platform{Region: DefaultRegion, Table: DefaultTable, Bucket: DefaultBucket}
	s.Limits = Limits{
		Callers:        DefaultCallers,
		QueueWait:      DefaultQueueWait,
		RequestTimeout: DefaultRequestTimeout,
		DrainTimeout:   DefaultDrainTimeout,
		LeaseLength:    DefaultLeaseLength,
	}
}
