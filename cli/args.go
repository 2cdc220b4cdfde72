package cli

import (
	"time"

	"github.com/parsleystack/parsleystack/bench"
)

// Args holds the arguments of the parsley command.
type Args struct {
	Check       *CheckArgs       `arg:"subcommand:check" help:"check service files and settings files"`
	Plan        *PlanArgs        `arg:"subcommand:plan" help:"show what publishing service files would change"`
	Publish     *PublishArgs     `arg:"subcommand:publish" help:"put service files into force"`
	Status      *StatusArgs      `arg:"subcommand:status" help:"show services, cells, owners and configuration"`
	Explain     *ExplainArgs     `arg:"subcommand:explain" help:"show which range, cell and owner a key has, and why"`
	Audit       *AuditArgs       `arg:"subcommand:audit" help:"show who changed what, and what moved and why"`
	Drain       *DrainArgs       `arg:"subcommand:drain" help:"start the planned stop of an instance"`
	Release     *ReleaseArgs     `arg:"subcommand:release" help:"send requests to targets again that have crashed some"`
	ConfirmLoss *ConfirmLossArgs `arg:"subcommand:confirm-loss" help:"confirm that a process has failed permanently"`
	Trace       *TraceArgs       `arg:"subcommand:trace" help:"show the path of a request in collected log lines, and the cause of its outcome"`
	Bench       *bench.Args      `arg:"subcommand:bench" help:"send load to a deployment and check its responses"`

	JSON    bool          `arg:"--json" help:"print JSON for programs"`
	Timeout time.Duration `arg:"--timeout,env:PARSLEY_TIMEOUT" default:"10s" help:"time limit of calls"`

	command string // subcommand whose examples are shown by --help
}

// Description is shown by --help.
func (a *Args) Description() string {
	return "parsley publishes the configuration of services and operates a deployment."
}

// Epilogue is shown by --help after the options.
func (a *Args) Epilogue() string { return helpFor(a.command) }

// LogArgs names the platform's log service.
type LogArgs struct {
	Log string `arg:"--log,env:PARSLEY_LOG" placeholder:"IP:PORT" help:"address of the platform's log service"`
}

// DaemonArgs names the daemons to call.
type DaemonArgs struct {
	Admin   []string `arg:"--admin,separate,env:PARSLEY_ADMIN" placeholder:"IP:PORT" help:"admin address of a daemon; may be repeated"`
	Daemons string   `arg:"--daemons,env:PARSLEY_DAEMONS" placeholder:"DIR" help:"directory with the settings files of the daemons"`
	TLSArgs
}

// TLSArgs names the operator's certificate for daemons with TLS.
type TLSArgs struct {
	Cert string `arg:"--cert,env:PARSLEY_CERT" placeholder:"FILE" help:"certificate of the operator (PEM)"`
	Key  string `arg:"--key-file,env:PARSLEY_KEY_FILE" placeholder:"FILE" help:"private key of the certificate (PEM)"`
	CA   string `arg:"--ca,env:PARSLEY_CA" placeholder:"FILE" help:"certificate authorities that sign the daemons' certificates (PEM)"`
}

// OperatorArgs names who issues an operator command, and why.
type OperatorArgs struct {
	Operator string `arg:"--operator,env:PARSLEY_OPERATOR" placeholder:"NAME" help:"who issues the command"`
	Reason   string `arg:"--reason" placeholder:"TEXT" help:"why, for the audit trail"`
}

// TraceArgs holds the arguments of trace.
type TraceArgs struct {
	ID    string   `arg:"positional,required" placeholder:"ID" help:"id of the request"`
	Files []string `arg:"positional,required" placeholder:"FILE" help:"files with the log lines of all daemons"`
}

// CheckArgs holds the arguments of check.
type CheckArgs struct {
	Paths         []string `arg:"positional" placeholder:"PATH" help:"service files, or directories that hold them"`
	Dir           string   `arg:"--daemons,env:PARSLEY_DAEMONS" placeholder:"DIR" help:"also check the daemons' settings files in this directory"`
	Configuration string   `arg:"--configuration" placeholder:"FILE" help:"check a configuration of the platform's operator (JSON)"`
	Against       string   `arg:"--against" placeholder:"FILE" help:"also show what the configuration changes against the one in force (JSON)"`
	Targets       []string `arg:"--targets,separate" placeholder:"SERVICE=NUMBER" help:"number of targets of a service, which maxAttempts must not exceed; may be repeated"`
}

// PlanArgs holds the arguments of plan.
type PlanArgs struct {
	LogArgs
	Paths  []string `arg:"positional" placeholder:"PATH" help:"service files, or directories that hold them"`
	Retire []string `arg:"--retire,separate" placeholder:"SERVICE" help:"withdraw the configuration of this service; may be repeated"`
	Out    string   `arg:"--out" placeholder:"FILE" help:"write the plan to this file for publish --plan"`
}

// PublishArgs holds the arguments of publish.
type PublishArgs struct {
	LogArgs
	Paths    []string      `arg:"positional" placeholder:"PATH" help:"service files, or directories that hold them"`
	Retire   []string      `arg:"--retire,separate" placeholder:"SERVICE" help:"withdraw the configuration of this service; may be repeated"`
	Plan     string        `arg:"--plan" placeholder:"FILE" help:"publish exactly this plan; services that were changed since it was made are not published"`
	Operator string        `arg:"--operator,env:PARSLEY_OPERATOR" placeholder:"NAME" help:"who publishes"`
	Settle   time.Duration `arg:"--settle" default:"10s" help:"how long to look for a change whose append was not acknowledged"`
	Reset    bool          `arg:"--reset" help:"publish the files as the whole configuration after its records were lost"`
}

// StatusArgs holds the arguments of status.
type StatusArgs struct {
	DaemonArgs
	Service string `arg:"--service" help:"show only this service"`
	Ranges  bool   `arg:"--ranges" help:"list every range"`
}

// ExplainArgs holds the arguments of explain.
type ExplainArgs struct {
	DaemonArgs
	Key     string `arg:"positional,required" placeholder:"KEY" help:"the key as the service's key rule extracts it"`
	Service string `arg:"--service,required" help:"the service that the key belongs to"`
	Log     string `arg:"--log,env:PARSLEY_LOG" placeholder:"IP:PORT" help:"log service, to show since when the key has its owner, and previous owners"`
}

// AuditArgs holds the arguments of audit.
type AuditArgs struct {
	LogArgs
	Regions []string `arg:"--region,separate,env:PARSLEY_REGION" help:"read the cells of this region; may be repeated"`
	Dir     string   `arg:"--daemons,env:PARSLEY_DAEMONS" placeholder:"DIR" help:"take the regions from the settings files in this directory"`
	Service string   `arg:"--service" help:"show only this service"`
	Key     string   `arg:"--key" help:"show only entries about this key; needs --service"`
	Since   string   `arg:"--since" placeholder:"TIME" help:"RFC 3339 time, or a duration before now such as 2h"`
	Until   string   `arg:"--until" placeholder:"TIME" help:"RFC 3339 time, or a duration before now"`
	Kinds   []string `arg:"--kind,separate" help:"show only entries of this kind; may be repeated"`
}

// DrainArgs holds the arguments of drain.
type DrainArgs struct {
	DaemonArgs
	OperatorArgs
	Instance string `arg:"positional,required" placeholder:"INSTANCE" help:"name of the instance"`
	Wait     bool   `arg:"--wait" help:"wait until the instance owns no range and its daemon has stopped"`
}

// ConfirmLossArgs holds the arguments of confirm-loss.
type ConfirmLossArgs struct {
	DaemonArgs
	OperatorArgs
	Node    string `arg:"positional,required" placeholder:"INSTANCE#INCARNATION" help:"the process, as status shows it"`
	Service string `arg:"--service,required" help:"the service that the process served"`
}

// ReleaseArgs holds the arguments of release.
type ReleaseArgs struct {
	DaemonArgs
	OperatorArgs
	Fingerprint string `arg:"positional,required" placeholder:"FINGERPRINT" help:"of the requests, as status shows it"`
	Service     string `arg:"--service,required" help:"the service whose targets the requests have crashed"`
}
