Feature: Settings are checked before a box starts

  Scenario: A file with the needed keys gets the defaults
    When settings are read that name only what is required
    Then they are valid and the length of a lease is 10000 ms

  Scenario: All that is wrong is named at once
    When settings are read with an unknown key, a port without an IP number and a lease that is too short
    Then the problems name "box.caller_address", "lease.lease_ms" and "lease.colour"

  Scenario: Rules over several keys are checked
    When settings are read whose renewals are further apart than half a lease
    Then the problems name "lease.renew_ms"

  Scenario: The reference page agrees with the code
    Then docs/SETTINGS.md is what the code describes
