package capacity

import "trefoilferry.example/ferry/pkg/clock"

type systemClock = clock.System
