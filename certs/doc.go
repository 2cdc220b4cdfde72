// Package certs provides mutual TLS from certificate files that may be replaced
// while the daemon runs. New connections use the latest valid set of files;
// established connections are not affected.
package certs
