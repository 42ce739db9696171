package endpt

import (
	"maps"
	"strings"
)

// reported lists the settings that a session reports to its caller at the
// start.
var reported = []string{
	"server_version", "server_encoding", "client_encoding", "datestyle",
	"timezone", "integer_datetimes", "standard_conforming_strings", "application_name",
}

var defaultSettings = map[string]string{
	"server_version":              "16.0",
	"server_encoding":             "UTF8",
	"client_encoding":             "UTF8",
	"datestyle":                   "ISO, MDY",
	"timezone":                    "UTC",
	"integer_datetimes":           "on",
	"standard_conforming_strings": "on",
	"application_name":            "",
}

// settings holds the settings of one connection. A setting that one caller
// changed is visible to the next caller on the connection unless it is reset.
type settings struct {
	initial map[string]string
	values  map[string]string
}

func newSettings(start map[string]string) settings {
	initial := maps.Clone(defaultSettings)
	for k, v := range start {
		if k != "user" && k != "database" && k != "options" && k != "replication" {
			initial[strings.ToLower(k)] = v
		}
	}
	return settings{initial: initial, values: maps.Clone(initial)}
}

// set changes a setting and records in the transaction how to restore it.
func (s *settings) set(t *txn, st *statement) {
	if t.settings == nil {
		t.settings, t.local = maps.Clone(s.values), map[string]bool{}
	}
	t.local[st.name] = st.local
	s.values[st.name] = st.values[0][0].text
}

// endTxn restores settings at the end of a transaction: all of them after a
// rollback, only the local ones after a commit.
func (s *settings) endTxn(t *txn, committed bool) {
	if t.settings == nil {
		return
	}
	if !committed {
		s.values = t.settings
		return
	}
	for name, local := range t.local {
		if !local {
			continue
		}
		delete(s.values, name)
		if old, ok := t.settings[name]; ok {
			s.values[name] = old
		}
	}
}

func (s *settings) resetAll() { s.values = maps.Clone(s.initial) }

func (s *settings) reset(name string) {
	v, ok := s.initial[name]
	if !ok {
		delete(s.values, name)
		return
	}
	s.values[name] = v
}

func (s *settings) show(name string) (string, error) {
	v, ok := s.values[name]
	if !ok {
		return "", fail(codeNoSetting, "unknown configuration parameter %q", name)
	}
	return v, nil
}

// runSetting executes a statement that concerns the session's settings or
// prepared statements.
func (x *session) runSetting(st *statement) (*result, error) {
	switch st.verb {
	case setVerb:
		x.settings.set(x.txn, st)
		return &result{tag: "SET"}, nil
	case showVerb:
		v, err := x.settings.show(st.name)
		if err != nil {
			return nil, err
		}
		return &result{columns: textColumns(st.columns), rows: [][]*string{{&v}}, tag: "SHOW"}, nil
	case resetVerb:
		x.settings.reset(st.name)
		return &result{tag: "RESET"}, nil
	case resetAllVerb:
		x.settings.resetAll()
		return &result{tag: "RESET"}, nil
	case discardVerb:
		if x.txn.explicit {
			return nil, fail("25001", "DISCARD ALL cannot run inside a transaction block")
		}
		x.settings.resetAll()
		clear(x.prepared)
		return &result{tag: "DISCARD ALL"}, nil
	}
	if st.name == "all" {
		clear(x.prepared)
		return &result{tag: "DEALLOCATE ALL"}, nil
	}
	delete(x.prepared, st.name)
	return &result{tag: "DEALLOCATE"}, nil
}
