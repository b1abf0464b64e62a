Feature: Allocated addresses stay free until a process listens on them

  Scenario: Outgoing connections cannot occupy an allocated address
    When 200 addresses are allocated twice
    Then all addresses differ and no port is in the ephemeral range
