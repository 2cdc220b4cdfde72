package main

import "time"

// site holds the settings that differ between the sites.
type site struct {
	heartbeat time.Duration
	linkMbps  int
	bounds    string
}

var perizia = site{
	heartbeat: 870 * time.Millisecond, linkMbps: 1000,
	bounds: `"seedLagS=3", "reuseAfterS=2", "stableWindowMs=3000", "ackMs=4000", "catchUpS=4", "drainMs=2000", "graceS=6", "lossSlackMs=200", "configApplyMs=2000", "rollbackSlackMs=250", "maxStretchMs=5000", "retryBudgetRatio=0.2", "budgetWindowS=10", "budgetSlack=62", "recoveryS=15", "maxHoldMs=10000", "thawMs=300"`,
}

var raumtafelGrown = site{
	heartbeat: 1500 * time.Millisecond, linkMbps: 10,
	bounds: `"seedLagS=3", "reuseAfterS=2", "stableWindowMs=3000", "ackMs=5000", "catchUpS=6", "drainMs=2500", "graceS=6", "lossSlackMs=200", "configApplyMs=2500", "rollbackSlackMs=250", "maxStretchMs=5000", "retryBudgetRatio=0.2", "budgetWindowS=10", "budgetSlack=222", "recoveryS=15", "maxHoldMs=10000", "thawMs=300"`,
}
