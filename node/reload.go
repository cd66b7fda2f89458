// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"reflect"
	"strings"

	"sassafrasfront.example/settings"
)

// Reload applies changed settings, which the caller has validated. Those that can change while
// the node runs are active at once; the log names the others, which are active after the next
// start. Reload may be called from any goroutine.
func (n *Node) Reload(s settings.Settings) {
	var applied, deferred []string
	old := n.activeSettings()
	oldFields, newFields := reflect.ValueOf(old), reflect.ValueOf(s)
	for i := range newFields.NumField() {
		name := newFields.Type().Field(i).Name
		switch {
		case oldFields.Field(i).Interface() == newFields.Field(i).Interface():
		case reloadable[name]:
			applied = append(applied, name)
		default:
			deferred = append(deferred, name)
		}
	}
	next := old
	next.RetryRatio = s.RetryRatio
	next.RetrySlack = s.RetrySlack
	next.Service = s.Service
	n.reloadedSettings.Store(&next)
	n.Log.Info().Str("inForce", strings.Join(applied, ",")).Str("atNextStart", strings.Join(deferred, ",")).Msg("settings reloaded")
}

// reloadable names the settings that can change while the node runs: they are read each time
// that they are used.
var reloadable = map[string]bool{
	"RetryRatio": true,
	"RetrySlack": true,
	"Service":    true,
}

// activeSettings returns the active settings.
func (n *Node) activeSettings() settings.Settings {
	if s := n.reloadedSettings.Load(); s != nil {
		return *s
	}
	return n.Settings
}
