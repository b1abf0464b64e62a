Feature: Strategies for enforcing a target's limit across boxes

  Scenario: A single allocator enforces the limit at every fleet size and uses most of it
    When every load of permits is played 2 times with "handed out by one box"
    Then no window sends the target more requests than its limit allows
    And the target receives at least 65 in 100 requests within its limit

  Scenario: Enforcing the full limit on each box exceeds it
    When every load of permits is played 1 time with "each box for itself"
    Then some window sends the target more requests than its limit allows

  Scenario: Equal shares exceed the limit in large fleets
    When every load of permits is played 1 time with "equal parts"
    Then some window sends the target more requests than its limit allows
