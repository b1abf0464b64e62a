Feature: Affinity routing within bounded load

  Scenario: Requests with the same prefix are routed to the same target while load is even
    Given 8 idle candidates
    Then 100 choices by affinity for one key select one target, and many keys select all targets

  Scenario: Affinity never exceeds its load slack
    Then for any loads, the target chosen by affinity is within the slack of the least loaded

  Scenario: A key keeps its target when another target is removed
    Given 8 idle candidates
    When a candidate other than the key's target is removed
    Then the key's target is unchanged
