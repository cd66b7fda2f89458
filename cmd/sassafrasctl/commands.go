// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"

	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/verdict"
)

// validate checks the file without writing it.
func (t *tool) validate(context.Context, []string) error {
	o, err := t.readFile()
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%s is valid\n", o.Metadata.Name)
	return nil
}

// apply writes a Service. The write succeeds only if the object still has the resource
// version in the file or, if the file has none, the one that apply reads first.
func (t *tool) apply(ctx context.Context, _ []string) error {
	o, err := t.readFile()
	if err != nil {
		return err
	}
	api := t.api()
	current, err := api.Get(ctx, o.Kind, o.Metadata.Name)
	switch {
	case objectapi.IsNotFound(err):
	case err != nil:
		return err
	case o.Metadata.ResourceVersion == "":
		o = o.WithResourceVersion(current.Metadata.ResourceVersion)
	}
	written, err := objectapi.Put(ctx, api, o)
	if objectapi.IsConflict(err) {
		return exitError{exitConflict, conflictError(o, err)}
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%s written, version %s\n", o.Metadata.Name, written.Metadata.ResourceVersion)
	return nil
}

// conflictError returns an error that shows both versions of the object.
func conflictError(o *objectapi.Object, err error) error {
	current := "unknown"
	if c, ok := errors.AsType[*objectapi.ConflictError](err); ok {
		current = fmt.Sprintf("version %s\n%s", c.Current.Metadata.ResourceVersion, indent(c.Current.Spec))
	}
	effect := "nothing was written"
	if e, ok := errors.AsType[*objectapi.Error](err); ok && e.Verdict == verdict.MayHaveRun {
		effect = "a response was lost, so this change may have been written and then overwritten"
	}
	return fmt.Errorf("the resource was changed concurrently; %s\n--- yours, for version %s\n%s\n--- on the platform, %s",
		effect, o.Metadata.ResourceVersion, indent(o.Spec), current)
}

func indent(spec json.RawMessage) string {
	var v any
	if json.Unmarshal(spec, &v) != nil {
		return string(spec)
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return string(spec)
	}
	return string(data)
}

// diff shows what apply would change, line by line.
func (t *tool) diff(ctx context.Context, _ []string) error {
	o, err := t.readFile()
	if err != nil {
		return err
	}
	var old string
	current, err := t.api().Get(ctx, o.Kind, o.Metadata.Name)
	switch {
	case err == nil:
		old = indent(current.Spec)
	case !objectapi.IsNotFound(err):
		return err
	}
	lines := make(map[string]int)
	for l := range strings.SplitSeq(old, "\n") {
		lines[l]++
	}
	for l := range strings.SplitSeq(indent(o.Spec), "\n") {
		if lines[l] > 0 {
			lines[l]--
			continue
		}
		fmt.Fprintln(t.out, "+", l)
	}
	for l := range strings.SplitSeq(old, "\n") {
		if l != "" && lines[l] > 0 {
			lines[l]--
			fmt.Fprintln(t.out, "-", l)
		}
	}
	return nil
}

// get shows one service or all of them.
func (t *tool) get(ctx context.Context, args []string) error {
	objects, err := t.objects(ctx, operator.KindService, args)
	if err != nil || t.printJSON(objects) {
		return err
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tVERSION\tHOSTS\tCLASSES\tTIMEOUT")
	for _, o := range objects {
		s, err := objectapi.DecodeSpec[operator.Service](o)
		if err != nil {
			return err
		}
		s = s.WithDefaults()
		var classes []string
		for _, c := range s.Classes {
			classes = append(classes, c.Name)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", o.Metadata.Name, o.Metadata.ResourceVersion, strings.Join(s.Hosts, ","), strings.Join(classes, ","), s.Timeout.Std())
	}
	return w.Flush()
}

// objects returns the named object, or all objects of the kind.
func (t *tool) objects(ctx context.Context, kind string, args []string) ([]*objectapi.Object, error) {
	if len(args) > 1 {
		return nil, exitError{exitUsage, errors.New("at most one name can be given")}
	}
	if len(args) == 1 {
		o, err := t.api().Get(ctx, kind, args[0])
		if err != nil {
			return nil, err
		}
		return []*objectapi.Object{o}, nil
	}
	l, err := t.api().List(ctx, kind)
	if err != nil {
		return nil, err
	}
	return l.Items, nil
}

// printJSON prints v as JSON if that is the output format, and returns whether it did.
func (t *tool) printJSON(v any) bool {
	if t.output != "json" {
		return false
	}
	e := json.NewEncoder(t.out)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
	return true
}

// status shows the status of services. It fails if the latest intent of one was
// refused.
func (t *tool) status(ctx context.Context, args []string) error {
	objects, err := t.objects(ctx, operator.KindServiceStatus, args)
	if err != nil {
		return err
	}
	var refused error
	if !t.printJSON(objects) {
		fmt.Fprintln(t.out, statusHeader)
	}
	for _, o := range objects {
		s, err := objectapi.DecodeSpec[operator.ServiceStatus](o)
		if err != nil {
			return err
		}
		if t.output != "json" {
			t.printStatus(o.Metadata.Name, s)
		}
		if s.Phase == operator.PhaseRefused {
			refused = exitError{exitInvalid, fmt.Errorf("%s: %w", o.Metadata.Name, s.Errors)}
		}
	}
	return refused
}

const statusHeader = "NAME PHASE OBSERVED SEQUENCE SINCE ZONE=HAVING/ASKED(MEMBERS)"

// printStatus prints a status as one line.
func (t *tool) printStatus(name string, s operator.ServiceStatus) {
	var zones []string
	for zone, z := range s.Zones {
		having := fmt.Sprintf("%s=%d/%d(%d)", zone, z.UpToDate, z.Queried, z.Nodes)
		if z.Sequence < s.Sequence {
			having = fmt.Sprintf("%s=sequence %d", zone, z.Sequence)
		}
		zones = append(zones, having)
	}
	sort.Strings(zones)
	fmt.Fprintf(t.out, "%s %s %s %d %s %s\n", name, s.Phase, s.ObservedVersion, s.Sequence, s.AcceptedAt.Format("2006-01-02T15:04:05Z"), strings.Join(zones, " "))
}

// watch prints statuses as they change, until ctx is done.
func (t *tool) watch(ctx context.Context, _ []string) error {
	show := func(o *objectapi.Object) {
		s, err := objectapi.DecodeSpec[operator.ServiceStatus](o)
		if err != nil || t.printJSON(o) {
			return
		}
		t.printStatus(o.Metadata.Name, s)
	}
	f := &objectapi.Follower{
		API:  t.api(),
		Kind: operator.KindServiceStatus,
		OnList: func(l *objectapi.List) {
			for _, o := range l.Items {
				show(o)
			}
		},
		OnChange: func(e objectapi.Event) { show(e.Object) },
		OnError:  func(err error) { fmt.Fprintln(t.out, "#", err) },
	}
	f.Run(ctx)
	return nil
}

// remove deletes a service.
func (t *tool) remove(ctx context.Context, args []string) error {
	if len(args) != 1 {
		return exitError{exitUsage, errors.New("delete takes exactly one name")}
	}
	o, err := t.api().Get(ctx, operator.KindService, args[0])
	if err != nil {
		return err
	}
	if err := t.api().Delete(ctx, operator.KindService, args[0], o.Metadata.ResourceVersion); err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%s deleted\n", args[0])
	return nil
}
