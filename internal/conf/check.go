package conf

import (
	"fmt"
	"net/url"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
)

// The limits of the settings.
const (
	MinSecretBytes = 16
	MaxCallers     = 1_000_000
	MaxLogLevel    = 9

	minQueueWait      = envdoc.Duration(time.Millisecond)
	maxQueueWait      = envdoc.Duration(time.Minute)
	minRequestTimeout = envdoc.Duration(10 * time.Millisecond)
	maxRequestTimeout = envdoc.Duration(time.Hour)
	minDrainTimeout   = envdoc.Duration(100 * time.Millisecond)
	maxDrainTimeout   = envdoc.Duration(time.Hour)
	minLeaseLength    = envdoc.Duration(time.Second)
	maxLeaseLength    = envdoc.Duration(time.Hour)
)

const urlAllowed = `a URL by IP number such as "http://127.0.0.1:8000"`

type reportFunc func(field, wrong, allowed string)

type checkFunc func(s *Settings, report reportFunc)

func checkSettings(s *Settings, report reportFunc) {
	checkOperator(s, report)
	report.name("Instance", string(s.Instance))
	report.name("DataCentre", string(s.DataCentre))
	report.listen(&s.Listen)
	report.tls(&s.TLS)
	if s.Backend.User == "" {
		report("Backend.User", "missing", "the proxy's user at the endpoints")
	}
	report.limits(&s.Limits)
}

func checkOperator(s *Settings, report reportFunc) {
	report.name("Environment", string(s.Environment))
	report.platform(&s.Platform)
	if n := len(s.Peers.Secret); n < MinSecretBytes {
		report("Peers.Secret", fmt.Sprintf("%d bytes", n), fmt.Sprintf("at least %d bytes", MinSecretBytes))
	}
	if s.Log.Level < 0 || s.Log.Level > MaxLogLevel {
		report("Log.Level", fmt.Sprintf("impossible value %d", s.Log.Level), fmt.Sprintf("0 to %d", MaxLogLevel))
	}
}

func (r reportFunc) name(field, name string) {
	if !envdoc.ValidName(name) {
		r(field, fmt.Sprintf("%q is not a name", name), "1 to 63 letters, digits, dots, underscores and hyphens, a letter or digit first")
	}
}

func (r reportFunc) listen(l *Listen) {
	fields := map[string]string{}
	for _, a := range []struct{ field, address string }{
		{"Listen.Callers", l.Callers},
		{"Listen.Peers", l.Peers},
		{"Listen.Admin", l.Admin},
	} {
		if !envdoc.ValidAddress(a.address) {
			r(a.field, fmt.Sprintf("%q is not an address", a.address), envdoc.AddressAllowed)
			continue
		}
		if other, ok := fields[a.address]; ok {
			r(a.field, fmt.Sprintf("duplicate address %q, first in %s", a.address, other), "each address once")
			continue
		}
		fields[a.address] = a.field
	}
}

func (r reportFunc) platform(p *Platform) {
	r.url("Platform.TableURL", p.TableURL)
	r.url("Platform.ObjectURL", p.ObjectURL)
	r.url("Platform.ListURL", p.ListURL)
	for _, f := range []struct{ field, value string }{
		{"Platform.Region", p.Region},
		{"Platform.Table", p.Table},
		{"Platform.Bucket", p.Bucket},
		{"Platform.AccessKey", p.AccessKey},
		{"Platform.SecretKey", p.SecretKey},
	} {
		if f.value == "" {
			r(f.field, "missing", "text that is not empty")
		}
	}
}

func (r reportFunc) url(field, text string) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || !envdoc.ValidAddress(u.Host) || u.User != nil {
		r(field, fmt.Sprintf("%q is not an address of the platform", text), urlAllowed)
	}
}

func (r reportFunc) tls(t *TLS) {
	r.bothOrNeither("TLS.CertFile", t.CertFile, "TLS.KeyFile", t.KeyFile)
	r.bothOrNeither("TLS.PeerCertFile", t.PeerCertFile, "TLS.PeerKeyFile", t.PeerKeyFile)
	r.bothOrNeither("TLS.PeerCertFile", t.PeerCertFile, "TLS.PeerCAFile", t.PeerCAFile)
	if t.CertFile == "" && !t.AllowPlain {
		r("TLS.CertFile", "missing, and callers may not connect without TLS", "a file, or TLS.AllowPlain = true")
	}
}

func (r reportFunc) bothOrNeither(field, value, otherField, other string) {
	if value != "" && other == "" {
		r(otherField, "missing", "a file, as "+field+" is set")
	}
	if value == "" && other != "" {
		r(field, "missing", "a file, as "+otherField+" is set")
	}
}

func (r reportFunc) limits(l *Limits) {
	if l.Callers < 1 || l.Callers > MaxCallers {
		r("Limits.Callers", fmt.Sprintf("impossible value %d", l.Callers), fmt.Sprintf("1 to %d", MaxCallers))
	}
	r.duration("Limits.QueueWait", l.QueueWait, minQueueWait, maxQueueWait)
	r.duration("Limits.RequestTimeout", l.RequestTimeout, minRequestTimeout, maxRequestTimeout)
	r.duration("Limits.DrainTimeout", l.DrainTimeout, minDrainTimeout, maxDrainTimeout)
	r.duration("Limits.LeaseLength", l.LeaseLength, minLeaseLength, maxLeaseLength)
}

func (r reportFunc) duration(field string, d, low, high envdoc.Duration) {
	if d < low || d > high {
		r(field, fmt.Sprintf("impossible span %s", d), fmt.Sprintf("%s to %s", low, high))
	}
}
