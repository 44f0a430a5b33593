package object

import "trefoilferry.example/ferry/pkg/object/rules1"

// Names of the object kinds.
const (
	KindModel     = rules1.KindModel
	KindAdapter   = rules1.KindAdapter
	KindService   = rules1.KindService
	KindWorkspace = rules1.KindWorkspace
	KindCap       = rules1.KindCap
	KindPlacement = rules1.KindPlacement
	KindDrain     = rules1.KindDrain
)
