// Package yamlfile decodes YAML files strictly: unknown and duplicate fields are
// rejected, and every error has the file, line, field and remedy. Checks of values
// use a Checker, so that their errors have the same form and position as those of
// the decoder.
package yamlfile
