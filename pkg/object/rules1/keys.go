package rules1

// Bounds of values. Those of a priority are far from the limits of int32, so that the sum of a model's and a workspace's
// priority cannot overflow.
const (
	minPriority = "-1000"
	maxPriority = "1000"
	minBytes    = "1B"
	maxBytes    = "16TiB"
	minTarget   = "1ms"
	maxTarget   = "10m"
)

func modelKeys() []Key {
	return []Key{
		{Name: "version", Type: Text, Doc: "Version of the weights; a change replaces the copies."},
		{Name: "bytes", Type: Size, Min: minBytes, Max: maxBytes, Doc: "Accelerator memory of one copy."},
		{Name: "min_copies", Type: Integer, Default: "2", Min: "1", Max: "16", Doc: "Copies that are always kept, in different failure domains where possible."},
		{Name: "first_token_target", Type: Duration, Default: "620ms", Min: minTarget, Max: maxTarget, Doc: "Target for the time to the first token."},
		{Name: "between_tokens_target", Type: Duration, Default: "51ms", Min: minTarget, Max: maxTarget, Doc: "Target for the time between tokens."},
		{Name: "priority", Type: Integer, Default: "0", Min: minPriority, Max: maxPriority, Doc: "Requests of higher priority are served first."},
		{Name: "max_tokens", Type: Integer, Default: "4096", Min: "1", Max: "1048576", Doc: "Largest number of tokens that one request may generate."},
	}
}

func adapterKeys() []Key {
	return []Key{
		{Name: "model", Type: Reference, Kind: KindModel, Doc: "Name of the base model."},
		{Name: "bytes", Type: Size, Min: minBytes, Max: maxBytes, Doc: "Accelerator memory of the adapter."},
	}
}

func serviceKeys() []Key {
	return []Key{
		{Name: "idempotent_methods", Type: List, Default: "GET, HEAD, OPTIONS", Doc: "HTTP methods that may be repeated, in upper case."},
		{Name: "timeout", Type: Duration, Default: "30s", Min: "1ms", Max: "1h", Doc: "Longest time of one call."},
	}
}

func workspaceKeys() []Key {
	return []Key{
		{Name: "priority", Type: Integer, Default: "0", Min: minPriority, Max: maxPriority, Doc: "Added to the priority of the model."},
	}
}

func capKeys() []Key {
	return []Key{
		{Name: "member", Type: Member, Doc: "The capped object: model/NAME, adapter/NAME or workspace/NAME."},
		{Name: "share", Type: Number, Min: "0.001", Max: "1", Doc: "Part of a runner's concurrent slots that the member may hold while others wait."},
		{Name: "max_queued", Type: Integer, Default: "0", Min: "0", Max: "1000000", Doc: "Largest number of waiting requests of the member on each runner; 0 means no limit."},
	}
}

func placementKeys() []Key {
	return []Key{
		{Name: "model", Type: Reference, Kind: KindModel, Doc: "Name of the model."},
		{Name: "regions", Type: List, Doc: "Regions that may hold copies."},
	}
}
