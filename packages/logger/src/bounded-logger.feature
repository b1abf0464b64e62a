Feature: Logs never hold a box up

  Scenario: An output that nobody reads costs lines, not time
    Given a bounded logger on an output that nobody reads
    When 20000 requests are logged as ended
    Then the output holds at most its bound and the rest is counted as left out

  Scenario: A kind of event beyond its rate is counted, and the next line tells how many were left out
    Given a bounded logger with 40 lines a second
    When 100 requests are logged as ended within a second
    Then 40 lines are written
    When a second passes and 1 request is logged as ended
    Then the last line tells of 60 left out

  Scenario: Warnings have no rate
    Given a bounded logger with 40 lines a second
    When 100 ejections are logged within a second
    Then 100 lines are written

  Scenario: Lines of a short time are written together
    Given a bounded logger with 40 lines a second
    When 30 requests are logged as ended within a second
    Then the output was written to 0 times
    When the time to gather lines passes
    Then the output was written to 1 time
    And 30 lines are written

  Scenario: A warning does not wait, and takes the lines before it along
    Given a bounded logger with 40 lines a second
    When 3 requests are logged as ended
    And 1 ejections are logged within a second
    Then the output was written to 1 time
    And 4 lines are written
