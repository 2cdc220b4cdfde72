package bench

import (
	"testing"

	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/standin/target"
)

func runOf(id, key, name, token string, start, end int64) target.Run {
	return target.Run{
		ID: id, IdempotencyKey: id, Service: "bookings", Method: "POST", Path: "/" + key, Key: key,
		Target: name, Token: token, Start: start, End: end, Completed: end > 0,
	}
}

func TestVerify(t *testing.T) {
	done := Class{Kind: outcome.Done}
	notRun := Class{Kind: outcome.NotRun, Reason: "overloaded"}
	unknown := Class{Kind: outcome.Unknown, Reason: "connection-lost"}
	read := runOf("r1", "a", "t1", "1.1", 1, 2)
	read.Method, read.IdempotencyKey = "GET", ""
	tests := map[string]struct {
		history History
		want    string
	}{
		"no violation": {History{
			Outcomes: []RequestOutcome{{ID: "r1", Class: done}, {ID: "r2", Class: notRun}, {ID: "r3", Class: unknown}},
			Runs:     []target.Run{runOf("r1", "a", "t1", "1.1", 1, 2)},
			Complete: true,
		}, ""},
		"booking ran at two targets": {History{
			Runs: []target.Run{runOf("r1", "a", "t1", "1.1", 1, 2), runOf("r1", "a", "t2", "2.1", 3, 4)},
		}, DoubleRun},
		"booking was started twice and never ended": {History{
			Runs: []target.Run{runOf("r1", "a", "t1", "1.1", 1, 0), runOf("r1", "a", "t1", "1.1", 3, 0)},
		}, DoubleRun},
		"read ran twice": {History{Runs: []target.Run{read, read}}, ""},
		"refused booking ran": {History{
			Outcomes: []RequestOutcome{{ID: "r1", Class: notRun}},
			Runs:     []target.Run{runOf("r1", "a", "t1", "1.1", 1, 2)},
		}, RanDespiteNotRun},
		"booking done without a record":        {History{Outcomes: []RequestOutcome{{ID: "r1", Class: done}}, Complete: true}, DoneWithoutRun},
		"booking done with incomplete records": {History{Outcomes: []RequestOutcome{{ID: "r1", Class: done}}}, ""},
		"booking was answered done but not completed": {History{
			Outcomes: []RequestOutcome{{ID: "r1", Class: done}},
			Runs:     []target.Run{runOf("r1", "a", "t1", "1.1", 1, 0)},
			Complete: true,
		}, DoneWithoutRun},
		"two targets at once for one key": {History{
			Runs:         []target.Run{runOf("r1", "a", "t1", "1.1", 1, 9), runOf("r2", "a", "t2", "1.2", 5, 6)},
			DividedByKey: true,
		}, TwoOwners},
		"key moved": {History{
			Runs:         []target.Run{runOf("r1", "a", "t1", "1.1", 1, 4), runOf("r2", "a", "t2", "1.2", 5, 6)},
			DividedByKey: true,
		}, ""},
		"two keys at two targets at once": {History{
			Runs:         []target.Run{runOf("r1", "a", "t1", "1.1", 1, 9), runOf("r2", "b", "t2", "1.2", 5, 6)},
			DividedByKey: true,
		}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			for _, v := range Verify(tt.history) {
				got += v.Kind
			}
			if got != tt.want {
				t.Errorf("violations %q, want %q", got, tt.want)
			}
		})
	}
}
