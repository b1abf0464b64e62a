Feature: Settings are validated before a box starts

  Scenario: Defaults are applied to a file with only the required keys
    When settings with only the required keys are read
    Then they are valid and the lease duration is 10000 ms

  Scenario: All invalid keys are reported
    When settings with an unknown key, an address without an IP and a lease duration below the minimum are read
    Then the reported problems are "box.caller_address", "lease.lease_ms" and "lease.colour"

  Scenario: Constraints between keys are checked
    When settings with a renewal interval of more than half the lease duration are read
    Then the only reported problem is "lease.renew_ms"

  Scenario: The reference page matches the code
    Then docs/SETTINGS.md matches the generated settings reference
