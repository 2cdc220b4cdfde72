package cli

const exitHelp = "Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 faults in files, 4 conflict with another operator's change, 5 unsettled (outcome not known), 6 degraded."

// examples holds the examples of each command; a test runs every line.
var examples = map[string][]string{
	"check": {
		"parsley check deploy/perizia/services",
		"parsley check deploy/perizia/services --daemons deploy/perizia/daemons",
		"parsley check --configuration docs/operations/configuration.json",
		"parsley check --configuration docs/operations/configuration.json --against docs/operations/configuration-in-force.json --targets printdesk=6",
	},
	"plan": {
		"parsley plan --log 127.0.0.1:21900 deploy/perizia/services",
		"parsley plan --log 127.0.0.1:21900 --out plan.json deploy/perizia/services",
	},
	"publish": {
		"parsley publish --log 127.0.0.1:21900 --operator anna deploy/perizia/services",
		"parsley publish --log 127.0.0.1:21900 --operator anna --plan plan.json deploy/perizia/services",
	},
	"status": {
		"parsley status --daemons deploy/perizia/daemons",
		"parsley status --admin 127.0.0.1:21200 --json",
	},
	"explain": {
		"parsley explain --daemons deploy/perizia/daemons --service reports via-roma-1",
	},
	"audit": {
		"parsley audit --log 127.0.0.1:21900 --region lombardy --since 2h",
		"parsley audit --log 127.0.0.1:21900 --region lombardy --service reports --key via-roma-1",
	},
	"drain": {
		"parsley drain --daemons deploy/perizia/daemons --operator anna --reason upgrade reports-2",
	},
	"confirm-loss": {
		"parsley confirm-loss --daemons deploy/perizia/daemons --operator anna --service reports reports-2#1700000000000000000",
	},
	"release": {
		"parsley release --admin 127.0.0.1:21200 --operator anna --service reports fe3c8688a64faf1c3f144ef80e3ab7d29d3963f5f67c837e",
	},
	"trace": {
		"parsley trace 9d65ff8e752cd002 docs/operations/day.log",
	},
	"bench": {
		"parsley bench --entry 127.0.0.1:21000,127.0.0.1:21004 --phases 200x10s --target 127.0.0.1:21300",
	},
}

// commandOrder is the order of the examples in the general help.
var commandOrder = []string{"check", "plan", "publish", "status", "explain", "audit", "drain", "confirm-loss", "release", "trace", "bench"}

func helpFor(command string) string {
	text := "Examples:\n"
	if lines, ok := examples[command]; ok {
		return text + indent(lines) + exitHelp
	}
	for _, c := range commandOrder {
		text += indent(examples[c][:1])
	}
	return text + exitHelp
}

func indent(lines []string) string {
	text := ""
	for _, l := range lines {
		text += "  " + l + "\n"
	}
	return text
}
