package front

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marjoramrudder/marjoramrudder/internal/back"
	"github.com/marjoramrudder/marjoramrudder/internal/stmt"
)

// answerLocally answers batches that need no endpoint. It reports whether it
// did.
func (s *session) answerLocally(b *back.Batch, p *plan) (bool, error) {
	if b.Simple == nil {
		return false, nil
	}
	switch {
	case p.empty:
		return true, s.send(&pgproto3.EmptyQueryResponse{})
	case b.Simple.Kind == stmt.Set && !b.Simple.Multiple:
		return s.answerSet(b.Simple.SQL)
	case b.Simple.Kind == stmt.Read && !b.Simple.Multiple && isShowToken(b.Simple.SQL):
		return true, s.showToken()
	}
	return false, nil
}

// ignoredSettings are accepted without effect, since drivers set them on their
// own.
var ignoredSettings = []string{"application_name", "client_encoding", "client_min_messages", "extra_float_digits"}

// answerSet answers SET of the session token and of ignored settings.
func (s *session) answerSet(sql string) (bool, error) {
	fields := strings.Fields(strings.NewReplacer("=", " = ", ";", " ").Replace(sql))
	if len(fields) < 4 || !strings.EqualFold(fields[0], "SET") {
		return false, nil
	}
	name, value := strings.ToLower(fields[1]), strings.Trim(strings.Join(fields[3:], " "), "'")
	if name == tokenSetting {
		return true, s.setToken(value)
	}
	for _, ignored := range ignoredSettings {
		if name == ignored {
			return true, s.send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
		}
	}
	return false, nil
}

func (s *session) setToken(text string) error {
	if err := s.mergeToken(text); err != nil {
		return s.refuse(err)
	}
	if err := s.send(&pgproto3.CommandComplete{CommandTag: []byte("SET")}); err != nil {
		return err
	}
	return s.sendToken()
}

func (s *session) sendToken() error {
	return s.send(&pgproto3.ParameterStatus{Name: tokenSetting, Value: s.token.String()})
}

func isShowToken(sql string) bool {
	fields := strings.Fields(strings.TrimRight(strings.TrimSpace(sql), ";"))
	return len(fields) == 2 && strings.EqualFold(fields[0], "SHOW") && strings.EqualFold(fields[1], tokenSetting)
}

const textOID = 25

func (s *session) showToken() error {
	messages := []pgproto3.BackendMessage{
		&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte(tokenSetting), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}}},
		&pgproto3.DataRow{Values: [][]byte{[]byte(s.token.String())}},
		&pgproto3.CommandComplete{CommandTag: []byte("SHOW")},
	}
	for _, m := range messages {
		if err := s.send(m); err != nil {
			return err
		}
	}
	return nil
}
