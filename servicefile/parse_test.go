package servicefile

import (
	"reflect"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/service"
	"github.com/parsleystack/parsleystack/yamlfile/yamltest"
)

func TestLoadBuildsTheSpec(t *testing.T) {
	got, err := Load("testdata/good.yaml")
	if err != nil {
		t.Fatal(err)
	}
	want := &service.Spec{
		Name:   "reports",
		Key:    service.KeyRule{Source: service.KeyPathSegment},
		Ranges: 64,
		Methods: []service.Method{
			{HTTPMethod: "GET", PathPrefix: "/surveys", Idempotent: true, Priority: 5, Timeout: 2 * time.Second},
			{HTTPMethod: "*", Timeout: 10 * time.Second},
		},
		Fenced:     true,
		Weights:    service.Weights{Imbalance: 0.34, Churn: 0.33, Unavailable: 0.33},
		RetryRatio: 0.1,
		Slots:      20,
		Conns:      130,
		QueueLimit: 32,
		MaxMoves:   6,
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("spec is\n%+v\nwant\n%+v", got, want)
	}
}

func TestLoadRejectsBadFiles(t *testing.T) {
	yamltest.CheckBadFiles(t, "testdata/bad", func(path string) error {
		_, err := Load(path)
		return err
	})
}
