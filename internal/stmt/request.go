package stmt

import (
	"net/url"
	"strings"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// RequestID identifies a request that its caller may repeat.
type RequestID = ident.Request

// maxRequestBytes limits the length of a request identifier.
const maxRequestBytes = 128

const requestKey = "request_id='"

// cutRequest returns sql without the comment that carries a request identifier,
// and the identifier. The comment has the sqlcommenter format: comma-separated
// key='value' pairs with URL-encoded values. It is recognised only at the start
// or the end of the text, where it cannot be part of a literal.
func cutRequest(sql string) (plain string, id RequestID) {
	at := strings.Index(sql, requestKey)
	if at < 0 {
		return sql, ""
	}
	start := strings.LastIndex(sql[:at], "/*")
	end := strings.Index(sql[at:], "*/")
	if start < 0 || end < 0 || strings.Contains(sql[start:at], "*/") {
		return sql, ""
	}
	value, _, found := strings.Cut(sql[at+len(requestKey):], "'")
	text, err := url.PathUnescape(value)
	if !found || err != nil || text == "" || len(text) > maxRequestBytes {
		return sql, ""
	}
	before, after := sql[:start], sql[at+end+len("*/"):]
	if strings.TrimSpace(before) != "" && strings.Trim(after, " \t\r\n;") != "" {
		return sql, ""
	}
	return before + after, RequestID(text)
}
