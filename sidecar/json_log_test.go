package sidecar

import (
	"bytes"
	"sync"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/parsleystack/parsleystack/logtrace"
)

// jsonLog is the output of loggers.
type jsonLog struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// logger returns a logger that writes lines as the program does.
func (l *jsonLog) logger() *zap.Logger {
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(l), zap.InfoLevel))
}

// Write implements io.Writer.
func (l *jsonLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(line)
}

// read returns the lines so far.
func (l *jsonLog) read(t *testing.T) []logtrace.Line {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	lines, err := logtrace.Read(bytes.NewReader(l.lines.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	return lines
}
