package verdict

// Reason is the reason why a request was refused, retried, hedged or failed. It is
// also the value of the reason label under which the case is counted.
type Reason string

// Reasons of refusals that the caller can avoid by changing the request.
const (
	BadRequest       Reason = "bad_request"
	BadKey           Reason = "bad_key"
	KeyExpired       Reason = "key_expired"
	KeyFromFuture    Reason = "key_from_future"
	KeyConflict      Reason = "key_conflict"
	UnknownKind      Reason = "unknown_kind"
	UnknownTeam      Reason = "unknown_team"
	UnknownDC        Reason = "unknown_data_centre"
	TooLarge         Reason = "too_large"
	TooManyTasks     Reason = "too_many_tasks"
	DeadlinePassed   Reason = "deadline_passed"
	NeverFits        Reason = "never_fits"
	NotFound         Reason = "not_found"
	ManifestConflict Reason = "manifest_conflict"
	ManifestInvalid  Reason = "manifest_invalid"
)

// Reasons of refusals by admission.
const (
	QueueFull          Reason = "queue_full"
	DeadlineUnmeetable Reason = "deadline_unmeetable"
	QuotaExceeded      Reason = "quota_exceeded"
	NoTarget           Reason = "no_target"
	// Evacuated means that all targets that could run the job are in data centres that operators
	// have evacuated.
	Evacuated Reason = "evacuated"
	Draining  Reason = "draining"
	NotReady  Reason = "not_ready"
	Cancelled Reason = "cancelled"
	// Resubmitted means that the caller has submitted the job again at another entry, which
	// answers it.
	Resubmitted Reason = "resubmitted"
	MemoryFull  Reason = "memory_full"
	// ContactLost means that the leader that had the job is out of reach, and that no other one can answer before
	// the caller's deadline.
	ContactLost Reason = "contact_lost"
	// HeadTooLarge means that the head of a request has too many lines or bytes.
	HeadTooLarge Reason = "head_too_large"
	// TooSlow means that a request stopped before its end.
	TooSlow Reason = "too_slow"
	// ConnectionsFull means that a connection that sent nothing made room for another.
	ConnectionsFull Reason = "connections_full"
)

// Reasons from claiming a key.
const (
	// HomeUnreachable means that the home data centre of the key did not
	// respond.
	HomeUnreachable Reason = "home_unreachable"
	// LeaseLapsed means that this entry has no valid lease, so it may not start
	// work now.
	LeaseLapsed Reason = "lease_lapsed"
	// ClaimLost means that the members that may have had a record of the key
	// were lost.
	ClaimLost Reason = "claim_lost"
	// RefusedElsewhere means that another copy of the request was refused
	// shortly before. This copy is refused too, so that the earlier refusal
	// stays true.
	RefusedElsewhere Reason = "refused_elsewhere"
	// ClaimTimeout means that no claim was granted in time.
	ClaimTimeout Reason = "claim_timeout"
	// HolderLost means that the entry that ran the request was lost.
	HolderLost Reason = "holder_lost"
	// RanElsewhere means that the old system has claimed the key.
	RanElsewhere Reason = "ran_elsewhere"
	// AlreadyClaimed means that another copy of the request is running or has
	// run.
	AlreadyClaimed Reason = "already_claimed"
	// AnswerDropped means that the work has run to its end, but its answer is
	// no longer kept.
	AnswerDropped Reason = "answer_dropped"
)

// Reasons of a failed attempt at a target.
const (
	DialFailed       Reason = "dial_failed"
	NothingWritten   Reason = "nothing_written"
	TargetRefused    Reason = "target_refused"
	TargetLeaving    Reason = "target_leaving"
	TargetError      Reason = "target_error"
	TargetLost       Reason = "target_lost"
	TargetSilent     Reason = "target_silent"
	TruncatedAnswer  Reason = "truncated_answer"
	MismatchedAnswer Reason = "mismatched_answer"
	LateAnswer       Reason = "late_answer"
	TaskFailed       Reason = "task_failed"
	CrashesTargets   Reason = "crashes_targets" // targets crash when they start the task
	Timeout          Reason = "timeout"
	HedgeLatency     Reason = "hedge_latency"
	RetryBudget      Reason = "retry_budget"
)

// Reasons from the platform, and internal errors.
const (
	PlatformUnavailable Reason = "platform_unavailable"
	PlatformUnknown     Reason = "platform_unknown"
	Internal            Reason = "internal"
)

// Reasons from the links between entries.
const (
	LinkDown      Reason = "link_down"
	PeerSilent    Reason = "peer_silent"
	PeerRestarted Reason = "peer_restarted"
	PeerRefused   Reason = "peer_refused"
	WrongSecret   Reason = "wrong_secret"
	WrongVersion  Reason = "wrong_version"
	BadHello      Reason = "bad_hello"
	BadFrame      Reason = "bad_frame"
	Duplicate     Reason = "duplicate"
)
