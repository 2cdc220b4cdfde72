package faultplan

// noLogFaults is the body of the log service's control that ends all faults.
const noLogFaults = `{}`

// logFaults are the faults of the log service that are drawn from.
var logFaults = []string{
	`{"outage":true}`,
	`{"hang":true}`,
	`{"slow_ms":400}`,
	`{"slow_ms":1500}`,
	`{"lose_answer_ratio":0.5}`,
	`{"late_ratio":0.5,"late_ms":3000}`,
	`{"slow_ms":200,"lose_answer_ratio":0.2,"late_ratio":0.2,"late_ms":1500}`,
}
