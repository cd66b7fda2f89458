// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package settings

import (
	"flag"
	"io"
	"regexp"
	"strconv"

	"github.com/peterbourgon/ff/v3"
	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// EnvPrefix is the prefix of the names of the environment variables.
const EnvPrefix = "SASSAFRAS"

// configFlag is the flag that names the file.
const configFlag = "config"

// Read reads the settings from the arguments, the environment and the file that
// -config names, and checks them. Invalid settings are returned as SettingErrors; any
// other error says that the arguments or the file could not be read at all.
func Read(fs *flag.FlagSet, args []string) (*Settings, error) {
	s := new(Settings)
	s.Register(fs)
	fs.String(configFlag, "", "file with settings in YAML")
	f := &file{flags: fs}
	err := ff.Parse(fs, args,
		ff.WithEnvVarPrefix(EnvPrefix),
		ff.WithConfigFileFlag(configFlag),
		ff.WithConfigFileParser(f.parse),
	)
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	f.name = fs.Lookup(configFlag).Value.String()
	s.File = f.name
	errs := f.errs
	for _, settingErr := range s.Check() {
		if _, set := f.invalid[settingErr.Key]; !set {
			errs = append(errs, settingErr)
		}
	}
	f.locate(errs)
	if len(errs) > 0 {
		return nil, errs
	}
	return s, nil
}

// file reads settings from YAML.
type file struct {
	flags   *flag.FlagSet
	name    string
	lines   map[string]int
	invalid map[string]bool // settings whose value in the file is invalid
	errs    SettingErrors
}

// locate fills in where the invalid settings were set.
func (f *file) locate(errs SettingErrors) {
	for i := range errs {
		if line, ok := f.lines[errs[i].Key]; ok {
			errs[i].File = f.name
			errs[i].Line = line
		}
	}
}

func (f *file) addError(key string, line int, message string) {
	f.lines[key] = line
	f.invalid[key] = true
	f.errs = append(f.errs, SettingError{
		Key:     key,
		Message: message,
	})
}

// yamlLine matches the line number in an error of the YAML library.
var yamlLine = regexp.MustCompile(`line (\d+)`)

// parse implements ff.ConfigFileParser. It collects errors rather than stopping
// at the first one.
func (f *file) parse(r io.Reader, set func(name, value string) error) error {
	f.lines = make(map[string]int)
	f.invalid = make(map[string]bool)
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		line := 1
		if m := yamlLine.FindStringSubmatch(err.Error()); m != nil {
			line, _ = strconv.Atoi(m[1])
		}
		f.addError("(file)", line, err.Error())
		return nil
	}
	if len(doc.Content) == 0 {
		return nil
	}
	root := doc.Content[0]
	if root.Kind != yaml.MappingNode {
		f.addError("(file)", root.Line, "not a list of settings and their values")
		return nil
	}
	for i := 0; i+1 < len(root.Content); i += 2 {
		f.set(root.Content[i], root.Content[i+1], set)
	}
	return nil
}

// set applies one setting of the file.
func (f *file) set(key, value *yaml.Node, set func(name, value string) error) {
	name := key.Value
	_, twice := f.lines[name]
	known := f.flags.Lookup(name) != nil && name != configFlag
	switch {
	case !known:
		f.addError(name, key.Line, "unknown setting")
	case twice:
		f.addError(name, key.Line, "set twice")
	case value.Kind != yaml.ScalarNode:
		f.addError(name, key.Line, "not a single value")
	default:
		f.lines[name] = key.Line
		if err := f.setFlag(name, value.Value, set); err != nil {
			f.addError(name, key.Line, err.Error())
		}
	}
}

// setFlag sets a flag and returns an error if it can't parse the value.
func (f *file) setFlag(name, value string, set func(name, value string) error) error {
	err := set(name, value)
	if err == nil {
		return nil
	}
	return eris.Errorf("%q is not a valid value: %v", value, eris.Cause(err))
}
