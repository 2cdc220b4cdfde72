// Package capacity works out what each role of a daemon needs at a stated
// size, from measured slopes and a model of how often each thing happens.
//
// The model is a YAML file: the figures of the size, values derived from them,
// budgets, and sections (a role, or a path such as the time to be served
// again) whose terms name a measured series each.
package capacity

// Model is the content of the model file.
type Model struct {
	Sizes    []Size    `yaml:"sizes"`
	Derived  []Derived `yaml:"derived"`
	Budgets  []Budget  `yaml:"budgets"`
	Sections []Section `yaml:"sections"`
	Notes    []string  `yaml:"notes,omitempty"` // findings behind the figures
}

// Size is one figure of the size that the system has to carry.
type Size struct {
	Name    string  `yaml:"name"`
	Value   float64 `yaml:"value"`
	Unit    string  `yaml:"unit"`
	Source  string  `yaml:"source"`            // who set it: the users, a setting, the design
	Doubles bool    `yaml:"doubles,omitempty"` // grows when the size doubles
}

// Derived is a value worked out from sizes and earlier derived values.
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

// Section is a role or a path whose terms add up against budgets.
type Section struct {
	Name  string `yaml:"name"`
	Text  string `yaml:"text"`
	Terms []Term `yaml:"terms"`
}

// Term is one part of the need of a section.
type Term struct {
	Resource  string `yaml:"resource"`
	Text      string `yaml:"text"`
	Series    string `yaml:"series,omitempty"`     // measured series
	Size      string `yaml:"size,omitempty"`       // expression: the size at which the series is taken
	Value     string `yaml:"value,omitempty"`      // expression in the budget's unit, in place of a series
	PerSecond string `yaml:"per_second,omitempty"` // expression: how often it happens
	Each      string `yaml:"each,omitempty"`       // expression: what one counts in a series of unit 1
	Mechanism string `yaml:"mechanism"`            // what carries it
}
