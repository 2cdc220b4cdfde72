// Package yamlfile decodes YAML files strictly: unknown and duplicate fields
// are rejected, and every error names the file, the line, the field and what
// to do. Range checks report through a Checker, so that they carry the same
// position as errors of the decoder.
package yamlfile
