package main

import (
	"fmt"
	"time"
)

// without judges a part of the rule ROUTE, where all tasks require the label of a kind: a start on a runner without it.
func without(kind string, events []event) []string {
	var findings []string
	for _, e := range events {
		if e.kind == "start" && e.label != kind {
			findings = append(findings, fmt.Sprintf("ROUTE task=%s run %d, which requires %q, started on %s of the kind %q at %.3f", e.task, e.run, kind, e.runner, e.label, e.at.Seconds()))
		}
	}
	return findings
}

// startedAfter judges a part of the rule UNASKED: a task of the job starts later than cancel_ms after its cancelling was
// acknowledged.
func startedAfter(events []event, job string, acknowledged, bound time.Duration) []string {
	var findings []string
	for _, e := range events {
		if e.kind == "start" && len(e.task) > len(job) && e.task[:len(job)] == job && e.at > acknowledged+bound {
			findings = append(findings, fmt.Sprintf("UNASKED task=%s run %d started on %s at %.3f, %.3f s after the acknowledgement of the cancelling at %.3f",
				e.task, e.run, e.runner, e.at.Seconds(), (e.at-acknowledged).Seconds(), acknowledged.Seconds()))
		}
	}
	return findings
}
