Feature: A delayed event loop does not make responses miss their timeout

  Scenario: Responses that arrive in time are accepted although the event loop was blocked
    Given a server in another process that responds to 20 requests after 50 ms
    When requests with a timeout of 100 ms are sent and the event loop is blocked for 300 ms
    Then all 20 requests get a response

  Scenario: A late timer that is cancelled before its action runs does nothing
    When a timer of 10 ms is cancelled in the event loop iteration in which it expires 50 ms late
    Then the timer has not fired

  # Guards against time limits beyond the longest delay of Node's timers, with which requests fail at once.
  Scenario Outline: A timer of <ms> ms does not fire at once, and can be cancelled
    When a timer of <ms> ms runs for 50 ms and is cancelled
    Then the timer has not fired

    Examples:
      | ms         |
      | 2147483647 |
      | 2147483648 |
      | 1e12       |
      | 1e308      |
      | Infinity   |
