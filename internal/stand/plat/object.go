package plat

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/xml"
	"io"
	"net/http"
	"strconv"
	"sync"
)

const maxObjectBytes = 16 << 20

// objects holds the content of all objects by path.
type objects struct {
	mu      sync.Mutex
	content map[string][]byte
}

func newObjects() *objects { return &objects{content: map[string][]byte{}} }

func (o *objects) get(path string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	content, ok := o.content[path]
	return content, ok
}

// put stores an object. If once is set, it returns false instead of replacing
// an existing object.
func (o *objects) put(path string, content []byte, once bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.content[path]; ok && once {
		return false
	}
	o.content[path] = content
	return true
}

// Objects returns the number of stored objects.
func (s *Server) Objects() int {
	s.objects.mu.Lock()
	defer s.objects.mu.Unlock()
	return len(s.objects.content)
}

// objectError is an error response of the object store.
type objectError struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

// serveObject handles one call of the object store.
func (s *Server) serveObject(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		s.putObject(w, r)
	case http.MethodGet, http.MethodHead:
		s.getObject(w, r)
	default:
		writeObjectError(w, http.StatusMethodNotAllowed, "MethodNotAllowed", r.Method)
	}
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes))
	if err != nil || !s.admit(w, r) {
		return
	}
	if r.Header.Get("Content-Encoding") == "aws-chunked" {
		writeObjectError(w, http.StatusNotImplemented, "NotImplemented", "aws-chunked")
		return
	}
	stored := s.objects.put(r.URL.Path, content, r.Header.Get("If-None-Match") == "*")
	s.respondToWrite("PutObject", func() {
		if !stored {
			writeObjectError(w, http.StatusPreconditionFailed, "PreconditionFailed", r.URL.Path)
			return
		}
		w.Header().Set("ETag", etag(content))
	})
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	s.counters.add(func(c *Counters) { c.Reads++ })
	content, ok := s.objects.get(r.URL.Path)
	if !ok {
		writeObjectError(w, http.StatusNotFound, "NoSuchKey", r.URL.Path)
		return
	}
	w.Header().Set("ETag", etag(content))
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	if r.Method == http.MethodGet {
		_, _ = w.Write(content)
	}
}

func writeObjectError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_ = xml.NewEncoder(w).Encode(objectError{Code: code, Message: message})
}

func etag(content []byte) string {
	sum := sha256.Sum256(content)
	return `"` + hex.EncodeToString(sum[:8]) + `"`
}

// CorruptObjects corrupts the first byte of every object.
func (s *Server) CorruptObjects() {
	s.objects.mu.Lock()
	defer s.objects.mu.Unlock()
	for path, content := range s.objects.content {
		damaged := append([]byte{}, content...)
		damaged[0] ^= 1
		s.objects.content[path] = damaged
	}
}
