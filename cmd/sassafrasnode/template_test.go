// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestTemplateWithoutOptionalValues guards against a node that does not start on a platform which leaves out a value that
// the template of the settings names: only the values below are on all platforms.
func TestTemplateWithoutOptionalValues(t *testing.T) {
	values := map[string]string{
		"nodeName":                "a",
		"region":                  "r",
		"zone":                    "z",
		"listen.outbound":         "127.0.0.1:1",
		"listen.inbound":          "127.0.0.1:2",
		"listen.control":          "127.0.0.1:3",
		"listen.readinessAddr":    "127.0.0.1:4",
		"platform.address":        "127.0.0.1:5",
		"seeds":                   "",
		"service":                 "a",
		"appAddr":                 "127.0.0.1:6",
		"heartbeatS":              "1.5",
		"bounds.configApplyS":     "2",
		"bounds.retryBudgetRatio": "0.2",
		"bounds.budgetSlack":      "64",
		"bounds.budgetWindowS":    "10",
		"limits.linkMbps":         "1000",
		"limits.memoryMb":         "284",
	}
	template, err := os.ReadFile("../../deploy/node.yaml")
	qt.Assert(t, err, qt.IsNil)
	section := regexp.MustCompile(`(?s)\{\{#([^}]*)\}\}\n.*?\{\{/[^}]*\}\}\n`)
	placeholder := regexp.MustCompile(`\{\{([^}]*)\}\}`)
	text := placeholder.ReplaceAllFunc(section.ReplaceAll(template, nil), func(p []byte) []byte {
		return []byte(values[string(placeholder.FindSubmatch(p)[1])])
	})
	file := filepath.Join(t.TempDir(), "node.yaml")
	qt.Assert(t, os.WriteFile(file, text, 0o600), qt.IsNil)
	_, err = readSettings([]string{"-config", file})
	qt.Check(t, err, qt.IsNil)
}
