package lines

import (
	"context"
	"strings"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/audit"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
)

// session is a caller's session at one instance. Its statements and their answers go
// into the journal.
type session struct {
	load     *load
	client   *emul.Client
	info     audit.Session
	values   map[string]string // acknowledged
	prepared map[string]string // acknowledged: "READ q2" by name
	settings []string          // the statements that changed values and prepared
	// operation is the current one. It ends with its transaction.
	operation audit.OperationID
	inTx      bool
	began     time.Time
	request   string // of the latest statement
}

// openSession logs in at an instance. The session is nil if the login failed.
func (l *load) openSession(ctx context.Context, front string, route Route, account Account) *session {
	client, r, err := emul.Login(ctx, l.config.Dial, front, string(route.Name), account.Key)
	if err != nil || !r.OK() {
		if client != nil {
			_ = client.Close()
		}
		l.count(emul.Reply{Code: noSession}, nil, 0)
		return nil
	}
	return &session{
		load: l, client: client, values: make(map[string]string), prepared: make(map[string]string),
		info: audit.Session{ID: l.config.Journal.NextSession(), Front: front, Account: account.Name, Freshness: route.Freshness},
	}
}

// close ends the session.
func (s *session) close() { _ = s.client.Close() }

// query runs a statement. After an error the session has to be closed.
func (s *session) query(ctx context.Context, text string) (emul.Reply, error) {
	now := time.Now()
	if !s.inTx {
		s.operation, s.began = s.load.config.Journal.NextOperation(), now
	}
	s.inTx = s.inTx || audit.IsBegin(text)
	attempt := s.load.config.Journal.Begin(audit.Attempt{
		Session: s.info, Operation: s.operation, InTx: s.inTx, Began: s.began, Text: text,
		Values: audit.FormatValues(s.values), Shape: s.shapeOf(text), Sent: now,
	})
	s.request = attempt.Request
	r, err := s.client.Query(ctx, s.request, text)
	ended := time.Now()
	s.load.config.Journal.End(attempt, ended, func(a *audit.Attempt) {
		a.Lost, a.Code, a.Rows, a.Receipt = err != nil, r.Code, r.Rows, r.Signature
	})
	s.load.count(r, err, ended.Sub(now))
	if err != nil {
		s.load.recordClosed(s.request, s.info.Front, err)
		return r, err
	}
	s.inTx = r.State != "I"
	if r.OK() {
		s.acknowledge(text)
	}
	return r, nil
}

// shapeOf returns what the prepared name of a statement stands for, if it has one.
func (s *session) shapeOf(text string) string {
	f := strings.Fields(text)
	if len(f) < 2 || f[0] != "EXECUTE" {
		return ""
	}
	return s.prepared[f[1]]
}

// acknowledge applies an acknowledged change of the session.
func (s *session) acknowledge(text string) {
	word, rest, _ := strings.Cut(text, " ")
	name, value, _ := strings.Cut(rest, " ")
	switch word {
	case "SET":
		s.values[name] = value
		s.settings = append(s.settings, text)
	case "PREPARE":
		s.prepared[name] = value
		s.settings = append(s.settings, text)
	case "CLOSE":
		delete(s.prepared, name)
	}
}
