Feature: Strategies for enforcing a target's limit across boxes

  Scenario: A single allocator enforces the limit at every fleet size and uses most of it
    When every permit load runs 2 times with the "single allocator" strategy
    Then no window sends the target more requests than its limit allows
    And the target receives at least 65 percent of its limit

  Scenario: Enforcing the full limit on each box exceeds it
    When every permit load runs 1 time with the "full limit per box" strategy
    Then some window sends the target more requests than its limit allows

  Scenario: Equal shares exceed the limit in large fleets
    When every permit load runs 1 time with the "equal shares" strategy
    Then some window sends the target more requests than its limit allows
