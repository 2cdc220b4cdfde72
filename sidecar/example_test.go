package sidecar_test

import (
	"fmt"
	"os"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/sidecar"
)

// A daemon runs from the settings file that the platform writes.
func Example() {
	s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		fmt.Println("not on the platform")
		return
	}
	_ = sidecar.New(s, zap.NewNop(), func() uint64 { return 0 })
	// Output: not on the platform
}
