package bench

import "testing"

func TestRunFileJoinsStartAndEnd(t *testing.T) {
	runs, err := parseRunFile([]byte(`{"seq":0,"id":"a","start":1}
{"seq":1,"id":"b","start":2}
{"seq":0,"id":"a","start":1,"end":3,"completed":true}
{"seq":0,"id":"c","start":9}
{"seq":0,"id":"c","start":9,"end":10,"completed":true}
`))
	if err != nil || len(runs) != 3 {
		t.Fatalf("%d runs, error %v, want a, b and c of a later process", len(runs), err)
	}
	if !runs[0].Completed || runs[1].Completed || runs[2].ID != "c" || runs[2].End != 10 {
		t.Errorf("runs %+v", runs)
	}
	if _, err := parseRunFile([]byte(`{"seq":0,"id":`)); err == nil {
		t.Error("no error for a truncated line")
	}
}
