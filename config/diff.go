package config

import (
	"fmt"

	"github.com/parsleystack/parsleystack/service"
)

// Difference is one field in which two configurations of a service differ. Old
// or New is "" if that configuration does not have the field.
type Difference struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Diff returns the fields in which two configurations differ, in the order of
// the service file. A nil configuration has no fields.
func Diff(before, after *service.Spec) []Difference {
	old := specFields(before)
	cur := specFields(after)
	var diffs []Difference
	for _, f := range old {
		if value := cur.value(f.name); value != f.value {
			diffs = append(diffs, Difference{Field: f.name, Old: f.value, New: value})
		}
	}
	for _, f := range cur {
		if !old.has(f.name) {
			diffs = append(diffs, Difference{Field: f.name, New: f.value})
		}
	}
	return diffs
}

type specField struct{ name, value string }

type specFieldList []specField

func (l specFieldList) has(name string) bool {
	for _, f := range l {
		if f.name == name {
			return true
		}
	}
	return false
}

func (l specFieldList) value(name string) string {
	for _, f := range l {
		if f.name == name {
			return f.value
		}
	}
	return ""
}

func specFields(s *service.Spec) specFieldList {
	if s == nil {
		return nil
	}
	fields := specFieldList{
		{"key", keyText(s.Key)},
		{"ranges", fmt.Sprint(s.Ranges)},
		{"targets.check_tokens", fmt.Sprint(s.Fenced)},
		{"targets.slots", fmt.Sprint(s.Slots)},
		{"targets.connections", fmt.Sprint(s.Conns)},
		{"queue_limit", fmt.Sprint(s.QueueLimit)},
		{"retry_ratio", fmt.Sprint(s.RetryRatio)},
		{"balance.imbalance", fmt.Sprint(s.Weights.Imbalance)},
		{"balance.churn", fmt.Sprint(s.Weights.Churn)},
		{"balance.unavailable_time", fmt.Sprint(s.Weights.Unavailable)},
		{"balance.max_moves_per_minute", fmt.Sprint(s.MaxMoves)},
	}
	for i := range s.Methods {
		fields = append(fields, specField{fmt.Sprintf("requests[%d]", i), methodText(&s.Methods[i])})
	}
	return fields
}

func keyText(k service.KeyRule) string {
	switch k.Source {
	case service.KeyPathSegment:
		return fmt.Sprintf("path segment %d", k.Segment)
	case service.KeyQuery:
		return fmt.Sprintf("query parameter %s", k.Name)
	case service.KeyHeader:
		return fmt.Sprintf("header %s", k.Name)
	}
	return "none"
}

func methodText(m *service.Method) string {
	idempotency := "not idempotent"
	if m.Idempotent {
		idempotency = "idempotent"
	}
	return fmt.Sprintf("%s %s* %s priority %d timeout %v", m.HTTPMethod, m.PathPrefix, idempotency, m.Priority, m.Timeout)
}
