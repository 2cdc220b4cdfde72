package yamlfile

import (
	"errors"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// decodeError converts an error of the YAML library to a FieldError.
func (f *File) decodeError(err error) *FieldError {
	var duration *durationError
	if errors.As(err, &duration) {
		return f.durationError(duration)
	}
	e := &FieldError{
		File:    f.path,
		Line:    1,
		Problem: err.Error(),
		Remedy:  "correct the YAML syntax",
	}
	var positioned yaml.Error
	if !errors.As(err, &positioned) {
		return e
	}
	e.Problem = positioned.GetMessage()
	if tk := positioned.GetToken(); tk != nil {
		e.Line = tk.Position.Line
		e.Field = f.fieldAt(tk)
	}
	setRemedy(e, err)
	return e
}

func setRemedy(e *FieldError, err error) {
	var unknown *yaml.UnknownFieldError
	var typ *yaml.TypeError
	var unexpected *yaml.UnexpectedNodeTypeError
	var overflow *yaml.OverflowError
	switch {
	case errors.As(err, &unknown):
		e.Remedy = "remove the field or correct its name"
	case errors.As(err, &typ) && typ.DstType != nil:
		e.Problem = "the value has the wrong type"
		e.Remedy = "write " + typeName(typ.DstType.String())
	case errors.As(err, &unexpected), errors.As(err, &overflow):
		e.Remedy = "write a value of the type that the field takes"
	}
}

func typeName(goType string) string {
	switch goType {
	case "int", "int64", "uint8", "uint64":
		return "a whole number"
	case "float64":
		return "a number"
	case "bool":
		return "true or false"
	}
	return "a value of type " + goType
}

func (f *File) durationError(d *durationError) *FieldError {
	e := &FieldError{
		File:    f.path,
		Line:    1,
		Problem: d.Error(),
		Remedy:  "write a duration with its unit, such as 250ms, 2s or 24h",
	}
	n := f.find(func(n ast.Node) bool {
		scalar, ok := n.(ast.ScalarNode)
		return ok && scalar.GetToken().Value == d.value
	})
	if n != nil {
		e.Line = n.GetToken().Position.Line
		e.Field = fieldOf(n)
	}
	return e
}

// fieldAt returns the path of the node that starts at the token, or "" if there
// is none.
func (f *File) fieldAt(tk *token.Token) string {
	n := f.find(func(n ast.Node) bool { return n.GetToken().Position.Offset == tk.Position.Offset })
	if n == nil {
		return ""
	}
	return fieldOf(n)
}
