package allowance

// Change tells that an allowance came to be exhausted, or that no request has lacked units for a while; the other fields
// are what showed it.
type Change struct {
	Name      string
	Exhausted bool
	Limit     Limit
	// Level is what could be lent, Outstanding what daemons may still use, Short what their requests lack, all in units.
	Level       float64
	Outstanding float64
	Short       float64
	// Daemons is the number of daemons that use the allowance.
	Daemons int
}
