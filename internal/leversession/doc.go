// Package leversession holds golden sessions of whole processes, as operators
// and callers would see them. Its tests are all there is in it.
package leversession
