package failure

import "net/http"

// Code identifies a kind of failure. Codes are part of the API for callers and never change meaning.
type Code string

// Codes of failures that the caller caused.
const (
	BadRequest       Code = "bad_request"
	Unauthorized     Code = "unauthorized"
	NotFound         Code = "not_found"
	MethodNotAllowed Code = "method_not_allowed"
	BodyTooLarge     Code = "body_too_large"
	HeaderTooLarge   Code = "header_too_large"
	RequestTimeout   Code = "request_timeout"
	KeyMismatch      Code = "key_mismatch"
	KeyInProgress    Code = "key_in_progress"
	ClientCancelled  Code = "client_cancelled"
)

// Codes of valid requests that could not be served.
const (
	NoBackend            Code = "no_backend"
	Overloaded           Code = "overloaded"
	CapExceeded          Code = "cap_exceeded"
	QuotaExceeded        Code = "quota_exceeded"
	TargetMissed         Code = "target_missed"
	Leaving              Code = "leaving"
	NotLoaded            Code = "not_loaded"
	WrongIncarnation     Code = "wrong_incarnation"
	ConnectFailed        Code = "connect_failed"
	ConnectionLost       Code = "connection_lost"
	Truncated            Code = "truncated"
	FrameMismatch        Code = "frame_mismatch"
	ChecksumMismatch     Code = "checksum_mismatch"
	EngineFailed         Code = "engine_failed"
	ServiceFailed        Code = "service_failed"
	DeadlineExceeded     Code = "deadline_exceeded"
	LogUnavailable       Code = "log_unavailable"
	NotReady             Code = "not_ready"
	RetryBudgetExhausted Code = "retry_budget_exhausted"
	PromptQuarantined    Code = "prompt_quarantined"
)

// Codes of configuration, orders and internal work.
const (
	SettingsInvalid     Code = "settings_invalid"
	ObjectInvalid       Code = "object_invalid"
	PublishConflict     Code = "publish_conflict"
	PublishInvalid      Code = "publish_invalid"
	PublishUnknown      Code = "publish_unknown"
	RecordInvalid       Code = "record_invalid"
	OffsetExpired       Code = "offset_expired"
	OrderFenced         Code = "order_fenced"
	OrderFailed         Code = "order_failed"
	MemoryExhausted     Code = "memory_exhausted"
	PeerUnavailable     Code = "peer_unavailable"
	HostListUnavailable Code = "host_list_unavailable"
	Internal            Code = "internal"
)

// Codes of benchmark and load test runs; callers never see them.
const (
	// GeneratorLate means that a load generator fell behind its arrival schedule, so that its results are invalid.
	GeneratorLate Code = "generator_late"
	// InvariantBroken means that a run violated an invariant of the system.
	InvariantBroken Code = "invariant_broken"
)

var statusByCode = map[Code]int{
	BadRequest:           http.StatusBadRequest,
	Unauthorized:         http.StatusUnauthorized,
	NotFound:             http.StatusNotFound,
	MethodNotAllowed:     http.StatusMethodNotAllowed,
	BodyTooLarge:         http.StatusRequestEntityTooLarge,
	HeaderTooLarge:       http.StatusRequestHeaderFieldsTooLarge,
	RequestTimeout:       http.StatusRequestTimeout,
	KeyMismatch:          http.StatusUnprocessableEntity,
	KeyInProgress:        http.StatusConflict,
	ClientCancelled:      statusClientClosedRequest,
	NoBackend:            http.StatusServiceUnavailable,
	Overloaded:           http.StatusServiceUnavailable,
	CapExceeded:          http.StatusTooManyRequests,
	QuotaExceeded:        http.StatusTooManyRequests,
	TargetMissed:         http.StatusServiceUnavailable,
	Leaving:              http.StatusServiceUnavailable,
	NotLoaded:            http.StatusServiceUnavailable,
	WrongIncarnation:     http.StatusServiceUnavailable,
	ConnectFailed:        http.StatusBadGateway,
	ConnectionLost:       http.StatusBadGateway,
	Truncated:            http.StatusBadGateway,
	FrameMismatch:        http.StatusBadGateway,
	ChecksumMismatch:     http.StatusBadGateway,
	EngineFailed:         http.StatusBadGateway,
	ServiceFailed:        http.StatusBadGateway,
	DeadlineExceeded:     http.StatusGatewayTimeout,
	LogUnavailable:       http.StatusServiceUnavailable,
	NotReady:             http.StatusServiceUnavailable,
	RetryBudgetExhausted: http.StatusServiceUnavailable,
	PromptQuarantined:    http.StatusServiceUnavailable,
}

// statusClientClosedRequest marks a request that the caller cancelled; it appears in metrics only.
const statusClientClosedRequest = 499

// Status returns the HTTP status that callers receive for the code; 500 for codes that callers never see.
func (c Code) Status() int {
	if status, ok := statusByCode[c]; ok {
		return status
	}
	return http.StatusInternalServerError
}
