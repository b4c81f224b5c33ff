#!/usr/bin/env python3
"""Seeds of the fault soak with requests that crash engines beside all other faults. Seed 201 showed a verdict that
was lost: it could not be stored while the store was away, and all gateways were stopped and started
in turn meanwhile, so that the last one that knew it ended; the request then crashed six engines more. Seeds 301 and 307
(longer, with more series) showed the time that a verdict takes: callers came again before it. Seed 425 showed
a stream blamed that callers ask all the time: all gateways had just been started, and two such requests ended three engines
at which it ran within 0.3 s.
"""
import scenarios

PLAYS = (  # seed, seconds, series of faults, series of such requests
    (201, 30, 2, 1),
    (301, 40, 3, 2),
    (307, 40, 3, 2),
    (425, 40, 3, 2),
)


if __name__ == "__main__":
    scenarios.play_soaks([("--seed", seed, "--seconds", seconds, "--series", series, "--poison", poison,
                           "--limits", 0) for seed, seconds, series, poison in PLAYS])
