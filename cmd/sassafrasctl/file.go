// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"go.yaml.in/yaml/v3"

	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
)

// readFile reads and validates the Service object in the file given by -f.
func (t *tool) readFile() (*objectapi.Object, error) {
	if t.file == "" {
		return nil, exitError{exitUsage, errors.New("-f FILE is missing")}
	}
	data, err := os.ReadFile(t.file)
	if err != nil {
		return nil, exitError{exitUsage, err}
	}
	o, err := parseObject(data)
	if err != nil {
		return nil, exitError{exitInvalid, fmt.Errorf("%s: %w", t.file, err)}
	}
	return o, nil
}

// parseObject parses a Service object from YAML, of which JSON is a subset.
func parseObject(data []byte) (*objectapi.Object, error) {
	var v any
	if err := yaml.Unmarshal(data, &v); err != nil {
		return nil, err
	}
	asJSON, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	var o objectapi.Object
	if err := json.Unmarshal(asJSON, &o); err != nil {
		return nil, err
	}
	switch {
	case o.Kind != operator.KindService:
		return nil, fmt.Errorf("kind: %q is not %s", o.Kind, operator.KindService)
	case o.APIVersion != objectapi.GroupVersion:
		return nil, fmt.Errorf("apiVersion: %q is not %s", o.APIVersion, objectapi.GroupVersion)
	}
	if f := operator.CheckName(o.Metadata.Name); len(f) > 0 {
		return nil, f
	}
	if _, err := operator.ParseService(o.Spec); err != nil {
		return nil, err
	}
	return &o, nil
}
