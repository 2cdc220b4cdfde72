package measure

import (
	"bytes"
	"errors"
	"math"
	"strings"
	"testing"
)

func TestFit(t *testing.T) {
	points := []Point{{1, 5}, {2, 7}, {3, 9}, {4, 11}}
	line, err := Fit(points)
	if err != nil || math.Abs(line.Slope-2) > 1e-9 || math.Abs(line.Intercept-3) > 1e-9 || line.Residual > 1e-9 {
		t.Errorf("line %+v, error %v, want slope 2, intercept 3, no residual", line, err)
	}
	line, err = Fit([]Point{{1, 6}, {2, 6}, {3, 10}, {4, 10}})
	if err != nil || math.Abs(line.Slope-1.6) > 1e-9 || math.Abs(line.Intercept-4) > 1e-9 || math.Abs(line.Residual-math.Sqrt(0.8)) > 1e-9 {
		t.Errorf("line %+v, error %v, want slope 1.6, intercept 4, residual sqrt(0.8)", line, err)
	}
	if !line.Extrapolates(5) || line.Extrapolates(4) {
		t.Error("only sizes outside 1 to 4 are extrapolated")
	}
}

func TestFitNeedsFourSizes(t *testing.T) {
	_, err := Fit([]Point{{1, 1}, {2, 2}, {3, 3}, {3, 3.1}})
	var few *TooFewSizesError
	if !errors.As(err, &few) || few.Sizes != 3 {
		t.Errorf("error %v, want 3 distinct sizes", err)
	}
}

func TestCSVRoundTrip(t *testing.T) {
	s := &Series{Name: "log-read", Quantity: "bytes of one read, by records", Unit: "B"}
	s.Facts = Facts{Commit: "abc", CPU: "a: cpu, of sorts", Command: "measure --out x"}
	s.Add(1, 2.5)
	s.Add(1e9, 3)
	var b bytes.Buffer
	if err := s.Write(&b); err != nil {
		t.Fatal(err)
	}
	got, err := Read("log-read", &b)
	if err != nil {
		t.Fatal(err)
	}
	if got.Facts != s.Facts || got.Quantity != s.Quantity || got.Unit != s.Unit || len(got.Points) != 2 || got.Points[1] != s.Points[1] {
		t.Errorf("read %+v, want %+v", got, s)
	}
}

func TestReadErrors(t *testing.T) {
	tests := map[string]string{
		"no header":      "a,1,2,B\n",
		"missing column": "quantity,size,value\na,1,2\n",
		"bad size":       "quantity,size,value,unit\na,x,2,B\n",
		"two quantities": "quantity,size,value,unit\na,1,2,B\nb,1,2,B\n",
		"two units":      "quantity,size,value,unit\na,1,2,B\na,1,2,ns\n",
		"empty":          "",
	}
	for name, text := range tests {
		if _, err := Read(name, strings.NewReader(text)); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
