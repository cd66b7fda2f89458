// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"reflect"
	"strings"

	"sassafrasfront.example/settings"
)

// Reload takes in changed settings, already checked. Those that can change while
// the node runs are in force at once; of the others the log says that they wait
// for the next start. It may be called from any goroutine.
func (n *Node) Reload(s settings.Settings) {
	var live, waiting []string
	old := n.live()
	was, now := reflect.ValueOf(old), reflect.ValueOf(s)
	for i := range now.NumField() {
		name := now.Type().Field(i).Name
		switch {
		case was.Field(i).Interface() == now.Field(i).Interface():
		case reloadable[name]:
			live = append(live, name)
		default:
			waiting = append(waiting, name)
		}
	}
	next := old
	next.RetryRatio = s.RetryRatio
	next.RetrySlack = s.RetrySlack
	n.reloaded.Store(&next)
	n.Log.Info().Str("inForce", strings.Join(live, ",")).Str("atNextStart", strings.Join(waiting, ",")).Msg("settings read again")
}

// reloadable names the settings that are read anew each time they are used.
var reloadable = map[string]bool{
	"RetryRatio": true,
	"RetrySlack": true,
}

// live returns the settings in force.
func (n *Node) live() settings.Settings {
	if s := n.reloaded.Load(); s != nil {
		return *s
	}
	return n.Settings
}
