package admin

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

// tokenPurpose binds the token to its use, so that no other use of the shared
// secret gives the same bytes.
const tokenPurpose = "marjoramrudder administration write"

const bearer = "Bearer "

// Token returns the bearer token of administration writes: the HMAC-SHA256 of
// tokenPurpose under the shared secret of the peers, in hexadecimal.
func Token(secret string) string {
	m := hmac.New(sha256.New, []byte(secret))
	_, _ = m.Write([]byte(tokenPurpose))
	return hex.EncodeToString(m.Sum(nil))
}

// authorised reports whether the request shows the token.
func (s *Server) authorised(r *http.Request) bool {
	shown, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	return ok && subtle.ConstantTimeCompare([]byte(shown), []byte(s.token)) == 1
}
