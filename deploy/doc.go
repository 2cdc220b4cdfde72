// Package deploy holds the sample deployments; its test loads every file.
package deploy
