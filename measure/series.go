// Package measure records how quantities grow with size: series of measured
// points, the straight line fitted to them, and CSV files that hold the points
// together with the machine and the commit that they were measured on.
package measure

import (
	"fmt"
	"slices"
)

// Point is one measured value.
type Point struct {
	Size  float64
	Value float64
}

// Series holds the values of one quantity at several sizes.
type Series struct {
	Name     string // name of the file without its extension
	Quantity string // what was measured, and what the size counts
	Unit     string // unit of the values
	Points   []Point
	Facts    Facts
}

// Add appends a point.
func (s *Series) Add(size, value float64) {
	s.Points = append(s.Points, Point{Size: size, Value: value})
}

// Sizes returns the distinct sizes in ascending order.
func (s *Series) Sizes() []float64 {
	var sizes []float64
	for _, p := range s.Points {
		sizes = append(sizes, p.Size)
	}
	slices.Sort(sizes)
	return slices.Compact(sizes)
}

// Fit returns the least-squares line of the series. See the function Fit for its
// errors.
func (s *Series) Fit() (Line, error) {
	line, err := Fit(s.Points)
	if err != nil {
		return Line{}, fmt.Errorf("measure: series %s: %w", s.Name, err)
	}
	return line, nil
}
