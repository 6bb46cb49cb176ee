// Package leversession contains only tests: scripted sessions that run the real
// programs and compare the output that operators and callers receive.
package leversession
