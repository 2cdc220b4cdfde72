package faultplan

// noLogFaults is the control request body that ends all faults of the log service.
const noLogFaults = `{}`

// logFaults are the control request bodies that Generate selects from.
var logFaults = []string{
	`{"outage":true}`,
	`{"hang":true}`,
	`{"slow_ms":400}`,
	`{"slow_ms":1500}`,
	`{"lose_answer_ratio":0.5}`,
	`{"late_ratio":0.5,"late_ms":3000}`,
	`{"slow_ms":200,"lose_answer_ratio":0.2,"late_ratio":0.2,"late_ms":1500}`,
}
