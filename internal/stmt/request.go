package stmt

import (
	"net/url"
	"strings"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// RequestID is the identifier by which a caller may repeat a request.
type RequestID = ident.Request

// maxRequestBytes bounds a request identifier.
const maxRequestBytes = 128

const requestKey = "request_id='"

// cutRequest returns sql without the comment that carries a request
// identifier, and the identifier. The comment follows the sqlcommenter form:
// comma-separated key='value' pairs with URL-encoded values. It is read only
// at the start or the end of the text, where no literal can hold it.
func cutRequest(sql string) (plain string, id RequestID) {
	at := strings.Index(sql, requestKey)
	if at < 0 {
		return sql, ""
	}
	open := strings.LastIndex(sql[:at], "/*")
	end := strings.Index(sql[at:], "*/")
	if open < 0 || end < 0 || strings.Contains(sql[open:at], "*/") {
		return sql, ""
	}
	value, _, found := strings.Cut(sql[at+len(requestKey):], "'")
	text, err := url.PathUnescape(value)
	if !found || err != nil || text == "" || len(text) > maxRequestBytes {
		return sql, ""
	}
	before, after := sql[:open], sql[at+end+len("*/"):]
	if strings.TrimSpace(before) != "" && strings.Trim(after, " \t\r\n;") != "" {
		return sql, ""
	}
	return before + after, RequestID(text)
}
