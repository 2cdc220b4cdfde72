// Package deploy holds the sample deployments. Its tests load every settings and
// service file.
package deploy
