package logging

import (
	"io"
	"sync"
	"sync/atomic"
)

// bufferedLines is the maximum number of lines that are buffered while the output
// blocks; a line has at most a few hundred bytes.
const bufferedLines = 4096

// asyncWriter passes lines to a goroutine that writes them. It never blocks: if the
// buffer is full, a line is dropped and counted. It is safe for concurrent use.
type asyncWriter struct {
	lines chan []byte
	// dropped counts dropped lines and failed writes since it was last logged.
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

func (w *asyncWriter) run(out io.Writer) {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		batch = w.appendBuffered(batch)
		if _, err := out.Write(batch); err != nil {
			// The error can't be logged anywhere; the next report includes its count.
			w.dropped.Add(1)
		}
	}
}

// maxBatchBytes is the size above which no more buffered lines join one write.
const maxBatchBytes = 32 << 10

// appendBuffered appends the buffered lines to a batch, without waiting for more.
func (w *asyncWriter) appendBuffered(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line, open := <-w.lines:
			if !open {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// Write implements io.Writer.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *asyncWriter) Sync() error { return nil }

// close writes the buffered lines and waits until they are written. Write must not
// be called after it.
func (w *asyncWriter) close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}
