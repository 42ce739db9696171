package admin

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

// tokenPurpose binds the token to its use, so that the shared secret yields
// other bytes for other uses.
const tokenPurpose = "marjoramrudder administration write"

const bearer = "Bearer "

// Token returns the bearer token for administration writes: the hexadecimal
// HMAC-SHA256 of tokenPurpose with the shared secret of the peers as key.
func Token(secret string) string {
	m := hmac.New(sha256.New, []byte(secret))
	_, _ = m.Write([]byte(tokenPurpose))
	return hex.EncodeToString(m.Sum(nil))
}

// authorised reports whether the request carries the token.
func (s *Server) authorised(r *http.Request) bool {
	presented, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	return ok && subtle.ConstantTimeCompare([]byte(presented), []byte(s.token)) == 1
}
