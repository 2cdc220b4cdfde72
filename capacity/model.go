// Package capacity computes the resources that each role of a daemon needs at a
// given size of the system, from measured series and a model of how often each
// operation occurs.
//
// The model is a YAML file: the sizes, values derived from them, budgets, and
// sections (a role, or a path such as the recovery after a loss) whose terms each
// refer to a measured series or give a value.
package capacity

// Model is the content of the model file.
type Model struct {
	Sizes    []Size    `yaml:"sizes"`
	Derived  []Derived `yaml:"derived"`
	Budgets  []Budget  `yaml:"budgets"`
	Sections []Section `yaml:"sections"`
	Notes    []string  `yaml:"notes,omitempty"` // explanations of the figures
}

// Size is one figure of the size that the system must support.
type Size struct {
	Name    string  `yaml:"name"`
	Value   float64 `yaml:"value"`
	Unit    string  `yaml:"unit"`
	Source  string  `yaml:"source"`            // origin: the users, a setting, the design
	Doubles bool    `yaml:"doubles,omitempty"` // is multiplied by the growth of the system
}

// Derived is a value computed from sizes and earlier derived values.
type Derived struct {
	Name  string `yaml:"name"`
	Value string `yaml:"value"` // expression
	Unit  string `yaml:"unit"`
}

// Budget is the limit of one resource.
type Budget struct {
	Resource string  `yaml:"resource"`
	Limit    float64 `yaml:"limit"`
	Unit     string  `yaml:"unit"` // core, B, B/s, s or 1/s
	Text     string  `yaml:"text"`
}

// Section is a role or a path. Its terms are summed by resource and compared with
// the budgets.
type Section struct {
	Name  string `yaml:"name"`
	Text  string `yaml:"text"`
	Terms []Term `yaml:"terms"`
}

// Term is one part of the need of a section. Exactly one of Series and Value is set.
type Term struct {
	Resource  string `yaml:"resource"`
	Text      string `yaml:"text"`
	Series    string `yaml:"series,omitempty"`     // name of a measured series
	Size      string `yaml:"size,omitempty"`       // expression: the size at which the line of the series is evaluated
	Value     string `yaml:"value,omitempty"`      // expression in the unit of the budget, instead of a series
	PerSecond string `yaml:"per_second,omitempty"` // expression: occurrences per second
	Each      string `yaml:"each,omitempty"`       // expression: cost of one item of a series of unit 1, in the unit of the budget
	Mechanism string `yaml:"mechanism"`            // mechanism that causes the need
}
