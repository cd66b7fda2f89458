// Package httpfield converts header fields between net/http and the protocol
// between nodes.
package httpfield
