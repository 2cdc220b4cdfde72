package logsink

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// stuck is an output that nobody reads.
type stuck struct{ release chan struct{} }

func (s stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

func encoder() zapcore.Encoder { return zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()) }

// TestOutputThatNobodyReads logs far more than the queues hold to an output that
// takes nothing. No call may block, and what is missing is counted.
func TestOutputThatNobodyReads(t *testing.T) {
	out := stuck{release: make(chan struct{})}
	core := New(encoder(), zapcore.AddSync(out), zapcore.DebugLevel)
	log := zap.New(core)
	done := make(chan struct{})
	const kinds, each = 100, 100
	go func() {
		defer close(done)
		for i := range kinds * each {
			log.Info("refused", zap.Int(eventField, i%kinds))
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("logging blocks")
	}
	if dropped := core.TakeDropped(); dropped < kinds*each-urgentQueue-1 {
		t.Errorf("%d lines counted as dropped, want at least %d", dropped, kinds*each-urgentQueue-1)
	}
	close(out.release)
	core.Close(time.Second)
}

// buffer is an output that may be read while it is written.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.b.String()), "\n")
}

// TestStormOfOneEvent logs one event far above its number and another one once.
func TestStormOfOneEvent(t *testing.T) {
	out := new(buffer)
	core := New(encoder(), zapcore.AddSync(io.Writer(out)), zapcore.InfoLevel)
	clock := fixedClock{at: time.Unix(100, 0)}
	log := zap.New(core, zap.WithClock(clock))
	for range 10 * linesPerS {
		log.Info("refused", zap.Int(eventField, 1))
	}
	log.Info("silent", zap.Int(eventField, 2))
	core.Close(10 * time.Second)
	lines := out.lines()
	if len(lines) != linesPerS+1 || !strings.Contains(lines[len(lines)-1], "silent") {
		t.Errorf("%d lines, the last %q; want %d and the other event", len(lines), lines[len(lines)-1], linesPerS+1)
	}
	if dropped := core.TakeDropped(); dropped != 9*linesPerS {
		t.Errorf("%d dropped, want %d", dropped, 9*linesPerS)
	}
}

type fixedClock struct{ at time.Time }

func (c fixedClock) Now() time.Time { return c.at }

func (c fixedClock) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }
