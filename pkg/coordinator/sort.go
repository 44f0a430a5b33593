package coordinator

import (
	"cmp"
	"slices"
)

func sortRunners(list []*Runner) {
	slices.SortFunc(list, func(a, b *Runner) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
}
