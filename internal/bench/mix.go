package bench

// Mix is the composition of the load.
type Mix struct {
	// Shares maps each class to its share of the requests. The shares add up to 1.
	Shares map[Class]float64
	// DossierPrompt and QuestionPrompt are the ranges of prompt lengths in tokens.
	DossierPrompt  IntRange
	QuestionPrompt IntRange
	// DossierOutput and QuestionOutput are the ranges of response lengths in tokens.
	DossierOutput  IntRange
	QuestionOutput IntRange
	// DossiersPerModel is the number of shared prompt prefixes of each model.
	DossiersPerModel int
	// ZipfExponent is the exponent of the Zipf distribution of requests over members.
	ZipfExponent float64
	// RepeatedKeyShare is the share of service calls that are sent a second time, with the same idempotency key, through
	// the next entry host.
	RepeatedKeyShare float64
}

// DirectorateMix returns the mix of the directorate profile: mostly short questions.
func DirectorateMix() Mix {
	return mixWith(map[Class]float64{Dossier: 0.20, Question: 0.45, AdapterQuestion: 0.25, ServiceCall: 0.10})
}

// DamierMix returns the mix of the damier profile: mostly long dossier requests.
func DamierMix() Mix {
	return mixWith(map[Class]float64{Dossier: 0.40, Question: 0.25, AdapterQuestion: 0.25, ServiceCall: 0.10})
}

func mixWith(shares map[Class]float64) Mix {
	return Mix{
		Shares:           shares,
		DossierPrompt:    IntRange{Min: 4000, Max: 16000},
		QuestionPrompt:   IntRange{Min: 200, Max: 800},
		DossierOutput:    IntRange{Min: 200, Max: 400},
		QuestionOutput:   IntRange{Min: 40, Max: 100},
		DossiersPerModel: 4,
		ZipfExponent:     0.8,
		RepeatedKeyShare: 0.1,
	}
}
