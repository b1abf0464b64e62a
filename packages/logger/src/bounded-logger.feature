Feature: Logging never blocks a box

  Scenario: Lines are dropped if the output is not read
    Given a bounded logger with an output that is not read
    When 20000 requests are logged as ended
    Then the output buffers no more than its limit and the other lines are counted as dropped

  Scenario: Events beyond the rate limit are counted and reported with the next line
    Given a bounded logger with a limit of 40 lines per second
    When 100 requests are logged as ended within a second
    Then 40 lines are written
    When a second passes and 1 request is logged as ended
    Then the last line reports 60 dropped lines

  Scenario: Warnings are not rate limited
    Given a bounded logger with a limit of 40 lines per second
    When 100 ejections are logged within a second
    Then 100 lines are written

  Scenario: Lines are written in batches
    Given a bounded logger with a limit of 40 lines per second
    When 30 requests are logged as ended within a second
    Then the output was written to 0 times
    When the maximum flush delay passes
    Then the output was written to 1 time
    And 30 lines are written

  Scenario: A warning is written at once, together with the buffered lines
    Given a bounded logger with a limit of 40 lines per second
    When 3 requests are logged as ended
    And 1 ejections are logged within a second
    Then the output was written to 1 time
    And 4 lines are written
