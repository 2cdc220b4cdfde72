package logsink

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

func encoder() zapcore.Encoder { return zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()) }

// With an output that blocks and far more lines than the queues hold, no call may
// block and the dropped lines must be counted.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
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
		t.Fatal("logging blocked for 30 s")
	}
	if dropped := core.TakeDropped(); dropped < kinds*each-urgentQueueSize-1 {
		t.Errorf("%d lines counted as dropped, want at least %d", dropped, kinds*each-urgentQueueSize-1)
	}
	close(out.release)
	core.Close(time.Second)
}

// buffer is an output that can be read while it is written to.
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

// A burst of one event far above the rate limit must be cut to the limit and must
// not displace the line of another event.
func TestBurstOfOneEventIsLimited(t *testing.T) {
	out := new(buffer)
	core := New(encoder(), zapcore.AddSync(io.Writer(out)), zapcore.InfoLevel)
	clock := fixedClock{at: time.Unix(100, 0)}
	log := zap.New(core, zap.WithClock(clock))
	for range 10 * maxLinesPerS {
		log.Info("refused", zap.Int(eventField, 1))
	}
	log.Info("silent", zap.Int(eventField, 2))
	core.Close(10 * time.Second)
	lines := out.lines()
	if len(lines) != maxLinesPerS+1 || !strings.Contains(lines[len(lines)-1], "silent") {
		t.Errorf("%d lines, the last %q; want %d and the other event", len(lines), lines[len(lines)-1], maxLinesPerS+1)
	}
	if dropped := core.TakeDropped(); dropped != 9*maxLinesPerS {
		t.Errorf("%d dropped, want %d", dropped, 9*maxLinesPerS)
	}
}

type fixedClock struct{ at time.Time }

func (c fixedClock) Now() time.Time { return c.at }

func (c fixedClock) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }

// Texts that callers choose must not make lines long, nor long lines fill the memory while the
// output blocks.
func TestLongLinesAreBounded(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	core := New(encoder(), zapcore.AddSync(out), zapcore.DebugLevel)
	defer func() {
		close(out.release)
		core.Close(10 * time.Second)
	}()
	log := zap.New(core)
	long := strings.Repeat("x", 10*maxFieldBytes)
	for i := range 200 {
		texts := make([]zap.Field, 0, 50)
		for range cap(texts) {
			texts = append(texts, zap.String("text", long), zap.ByteString("bytes", []byte(long)), zap.Error(errors.New(long)))
		}
		log.Info("refused", append(texts, zap.Int(eventField, i))...)
	}
	if n := core.sink.queued.Load(); n > maxQueuedBytes || n < maxQueuedBytes/2 {
		t.Errorf("%d bytes are queued, want nearly %d", n, maxQueuedBytes)
	}
	if core.TakeDropped() == 0 {
		t.Error("no line was dropped")
	}
	line := <-core.sink.urgent
	if len(line) > 160*maxFieldBytes {
		t.Errorf("a line has %d bytes", len(line))
	}
}
