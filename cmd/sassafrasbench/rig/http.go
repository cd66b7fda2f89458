// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// client is the HTTP client of the rig.
var client = &http.Client{Timeout: 2 * time.Second}

func get(url string, v any) error {
	r, err := client.Get(url)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode >= 300 {
		return fmt.Errorf("GET %s: %s", url, r.Status)
	}
	return json.NewDecoder(r.Body).Decode(v)
}

func put(url string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	q, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	r, err := client.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode >= 300 {
		return fmt.Errorf("PUT %s: %s", url, r.Status)
	}
	return nil
}
