package bench

import (
	"context"
	"encoding/csv"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/standin/target"
)

// startTarget serves a target stand-in and returns its address.
func startTarget(t *testing.T, control target.Control) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tt := target.New(target.Config{Name: "t1", Conns: 1000})
	tt.SetControl(control)
	go func() { _ = tt.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

func directArgs(addr string) Args {
	return Args{
		Baseline: []string{addr},
		Targets:  []string{addr},
		Mix:      "raumtafel",
		Phases:   "2000x250ms",
		Rounds:   2,
		Keys:     100,
		Zipf:     1.1,
		Seed:     1,
		RunID:    "test",
	}
}

func TestRunDirect(t *testing.T) {
	args := directArgs(startTarget(t, target.Control{}))
	args.CSV = filepath.Join(t.TempDir(), "report.csv")
	var out strings.Builder
	if err := runReport(args, &out); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	if !strings.Contains(out.String(), "0 violations") {
		t.Errorf("report:\n%s", out.String())
	}
	f, err := os.Open(args.CSV)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	rows, err := csv.NewReader(f).ReadAll()
	if err != nil || len(rows) != 1+len(Raumtafel()) {
		t.Errorf("%d rows of CSV, error %v, want one for each operation", len(rows)-1, err)
	}
}

func runReport(args Args, out *strings.Builder) error {
	return Run(context.Background(), args, out)
}

func TestRunFindsAnswersOfOtherRequests(t *testing.T) {
	var out strings.Builder
	err := runReport(directArgs(startTarget(t, target.Control{WrongRatio: 0.1})), &out)
	var found *ViolationsError
	if !errors.As(err, &found) || found.Violations[0].Kind != UnmatchedResponse {
		t.Errorf("error %v, want %s", err, UnmatchedResponse)
	}
}

func TestCallerClasses(t *testing.T) {
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = refusing.Close()
	tests := map[string]struct {
		addr string
		want Class
	}{
		"done":            {startTarget(t, target.Control{}), Class{Kind: outcome.Done}},
		"refused":         {startTarget(t, target.Control{ColdMs: 1 << 30}), Class{outcome.NotRun, "cold"}},
		"torn":            {startTarget(t, target.Control{TruncatedRatio: 1}), Class{outcome.Unknown, reasonLost}},
		"closed":          {startTarget(t, target.Control{CloseRatio: 1}), Class{outcome.Unknown, reasonLost}},
		"late":            {startTarget(t, target.Control{LateRatio: 1, LateMs: 1 << 30}), Class{outcome.Unknown, reasonTimeout}},
		"connect refused": {refusing.Addr().String(), Class{outcome.NotRun, reasonConnect}},
	}
	op := Op{Name: "booking", Method: "POST", Path: "/bookings/{key}", Timeout: 1}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCaller(tt.addr, true, 10)
			if got := c.call(&op, "k", "r1"); got.class != tt.want {
				t.Errorf("class %+v, want %+v", got.class, tt.want)
			}
		})
	}
}

func TestAnswerOfAnotherRequest(t *testing.T) {
	complete := `{"id":"r1","path":"/bookings/k","key":"k"}`
	tests := map[string]struct {
		body string
		want responseStatus
	}{
		"right":       {complete, responseOK},
		"torn":        {complete[:20], responseMalformed},
		"other id":    {strings.Replace(complete, "r1", "r2", 1), responseUnmatched},
		"other key":   {strings.Replace(complete, `"key":"k"`, `"key":"j"`, 1), responseUnmatched},
		"two answers": {complete + complete, responseMalformed},
	}
	for name, tt := range tests {
		if got := checkResponse([]byte(tt.body), "r1", "/bookings/k", "k"); got != tt.want {
			t.Errorf("%s: %d, want %d", name, got, tt.want)
		}
	}
}
