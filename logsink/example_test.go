package logsink_test

import (
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/parsleystack/parsleystack/logsink"
)

func Example() {
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg"})
	core := logsink.New(encoder, zapcore.AddSync(os.Stdout), zapcore.InfoLevel)
	zap.New(core).Info("request refused", zap.Int("event", 7501))
	core.Close(time.Second)
	// Output: {"msg":"request refused","event":7501}
}
