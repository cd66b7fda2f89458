// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package operator_test

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/operator"
)

func TestParseService(t *testing.T) {
	tests := map[string]struct {
		spec string
		// fields are the fields with errors. text matches any other error.
		fields []string
		text   string
	}{
		"minimal":                 {spec: `{"hosts":["pledgebook.example"]}`},
		"address as host":         {spec: `{"hosts":["127.0.0.1"]}`},
		"no hosts":                {spec: `{}`, fields: []string{"hosts"}},
		"bad host":                {spec: `{"hosts":["Pledge Book"]}`, fields: []string{"hosts[0]"}},
		"host with a port":        {spec: `{"hosts":["a:80"]}`, fields: []string{"hosts[0]"}},
		"host twice":              {spec: `{"hosts":["a","a"]}`, fields: []string{"hosts[1]"}},
		"unknown field":           {spec: `{"hosts":["a"],"time":1}`, text: `.*unknown field "time"`},
		"not JSON":                {spec: `{`, text: `spec: .*`},
		"two values":              {spec: `{"hosts":["a"]}{}`, text: `.*more than one.*`},
		"bad duration":            {spec: `{"hosts":["a"],"timeout":"5 s"}`, text: `.*duration.*`},
		"negative wait":           {spec: `{"hosts":["a"],"queue":{"wait":"-1s"}}`, fields: []string{"queue.wait"}},
		"unknown policy":          {spec: `{"hosts":["a"],"policy":"best"}`, fields: []string{"policy"}},
		"class twice":             {spec: `{"hosts":["a"],"classes":[{"name":"x"},{"name":"x"}]}`, fields: []string{"classes[1].name"}},
		"class of a foreign host": {spec: `{"hosts":["a"],"classes":[{"name":"x","hosts":["b"]}]}`, fields: []string{"classes[0].hosts[0]"}},
		"value without header":    {spec: `{"hosts":["a"],"classes":[{"name":"x","value":"1"}]}`, fields: []string{"classes[0].value"}},
		"several errors":          {spec: `{"hosts":["a"],"maxBody":-1,"retry":{"share":2,"maxTries":99},"hedge":{"quantile":0.1}}`, fields: []string{"maxBody", "retry.maxTries", "retry.share", "hedge.quantile"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, err := operator.ParseService([]byte(test.spec))
			if test.text != "" {
				qt.Assert(t, err, qt.ErrorMatches, test.text)
				return
			}
			errs, _ := errors.AsType[operator.FieldErrors](err)
			var fields []string
			for _, f := range errs {
				fields = append(fields, f.Field)
			}
			qt.Assert(t, fields, qt.DeepEquals, test.fields)
			if test.fields == nil {
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, s.Timeout.Std(), qt.Equals, 10*time.Second)
			}
		})
	}
}

func TestServiceJSONRoundTrip(t *testing.T) {
	s, err := operator.ParseService([]byte(`{"hosts":["a"],"classes":[{"name":"x","weight":3}],"queue":{"adaptive":false}}`))
	qt.Assert(t, err, qt.IsNil)
	data, err := json.Marshal(s)
	qt.Assert(t, err, qt.IsNil)
	again, err := operator.ParseService(data)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, again, qt.DeepEquals, s)
	qt.Check(t, *again.Queue.Adaptive, qt.IsFalse)
}

func TestCheckName(t *testing.T) {
	for name, ok := range map[string]bool{"pledgebook": true, "a-1": true, "": false, "-a": false, "A": false, "a/b": false} {
		qt.Check(t, len(operator.CheckName(name)) == 0, qt.Equals, ok, qt.Commentf("%q", name))
	}
}
