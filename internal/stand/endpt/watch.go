package endpt

import (
	"bytes"
	"io"
)

// textWatcher counts the reads in which a watched text ends.
type textWatcher struct {
	source io.Reader
	server *Server
	tail   []byte // end of the data that was read before
}

// maxWatched bounds how many bytes of a text may come from earlier reads.
const maxWatched = 256

// Read implements io.Reader.
func (w *textWatcher) Read(b []byte) (int, error) {
	n, err := w.source.Read(b)
	if texts := w.server.faults.watch.Load(); texts != nil {
		w.inspect(b[:n], *texts)
	}
	return n, err
}

func (w *textWatcher) inspect(data []byte, texts []string) {
	seen := len(w.tail)
	w.tail = append(w.tail, data...)
	for _, t := range texts {
		if i := bytes.LastIndex(w.tail, []byte(t)); t != "" && i >= 0 && i+len(t) > seen {
			w.server.counters.watchedText()
		}
	}
	if extra := len(w.tail) - maxWatched; extra > 0 {
		w.tail = append(w.tail[:0], w.tail[extra:]...)
	}
}
