package endpt

import (
	"bytes"
	"io"
)

// watcher counts the reads in which a watched text ends.
type watcher struct {
	source io.Reader
	server *Server
	tail   []byte // the end of what was read before
}

// maxWatched bounds how much of a text may lie in earlier reads.
const maxWatched = 256

// Read implements io.Reader.
func (w *watcher) Read(b []byte) (int, error) {
	n, err := w.source.Read(b)
	if texts := w.server.faults.watch.Load(); texts != nil {
		w.inspect(b[:n], *texts)
	}
	return n, err
}

func (w *watcher) inspect(fresh []byte, texts []string) {
	seen := len(w.tail)
	w.tail = append(w.tail, fresh...)
	for _, t := range texts {
		if i := bytes.LastIndex(w.tail, []byte(t)); t != "" && i >= 0 && i+len(t) > seen {
			w.server.counters.watchedText()
		}
	}
	if extra := len(w.tail) - maxWatched; extra > 0 {
		w.tail = append(w.tail[:0], w.tail[extra:]...)
	}
}
