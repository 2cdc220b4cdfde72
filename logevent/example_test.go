package logevent_test

import (
	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/logevent"
)

func ExampleLog() {
	logger := zap.NewExample()
	logevent.Log(logger, logevent.DaemonReady, zap.String("instance", "reports-1"))
	// Output:
	// {"level":"info","msg":"daemon ready","event":1002,"instance":"reports-1"}
}
