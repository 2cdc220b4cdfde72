package settings

import (
	"errors"
	"os"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/yamlfile/yamltest"
)

func TestLoadKeepsDefaultsBesideSetValues(t *testing.T) {
	d, err := Load("testdata/good.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if d.Lease.Duration != 3*time.Second || d.Lease.HeartbeatInterval != 850*time.Millisecond {
		t.Fatalf("lease settings are %+v", d.Lease)
	}
	if d.Zone != "lombardy-a" || d.Target.Conns != 130 || !d.TLS.Insecure || d.LogLevel != LogInfo {
		t.Fatalf("settings are %+v", d)
	}
}

func TestLoadNamesAMissingFile(t *testing.T) {
	_, err := Load("testdata/absent.yaml")
	if !errors.Is(err, os.ErrNotExist) {
		t.Fatalf("error is %v", err)
	}
}

func TestLoadRejectsBadFiles(t *testing.T) {
	yamltest.CheckBadFiles(t, "testdata/bad", func(path string) error {
		_, err := Load(path)
		return err
	})
}

func TestAnnounceAddrDefaultsToDaemonsAddress(t *testing.T) {
	l := Listen{Daemons: "127.0.0.1:21100"}
	if got := l.AnnounceAddr(); got != l.Daemons {
		t.Fatalf("announced is %s", got)
	}
	l.Announce = "127.0.0.1:21400"
	if got := l.AnnounceAddr(); got != l.Announce {
		t.Fatalf("announced is %s", got)
	}
}
