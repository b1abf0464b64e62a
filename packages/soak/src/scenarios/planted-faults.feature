Feature: Planted faults fit the code that they disable

  # Guards against planted faults that change nothing, which would leave their safeguards untested.
  Scenario: Every planted text occurs once in its compiled file, and every named scenario exists
    Then each planted text occurs exactly once in its compiled file
    And each scenario named by a planted fault exists
