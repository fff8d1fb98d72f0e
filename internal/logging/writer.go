package logging

import (
	"io"
	"sync"
	"sync/atomic"
)

// bufferedLines is how many lines wait for a reader that stands still; at most
// a few hundred bytes each.
const bufferedLines = 4096

// asyncWriter hands lines to a goroutine that writes them. It never blocks: with
// the buffer full a line is left out, and counted.
type asyncWriter struct {
	lines   chan []byte
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
			// There is nowhere left to tell it; the count shows it.
			w.dropped.Add(1)
		}
	}
}

// maxBatchBytes bounds one write of lines that wait together.
const maxBatchBytes = 32 << 10

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

// close writes what is buffered. Nothing may be written after it.
func (w *asyncWriter) close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}
