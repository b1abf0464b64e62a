Feature: Limits announced by targets

  Scenario: A limit applies until a later request is answered without one
    Given a target that announced a limit of 2 requests per second at 1000 ms
    When a request sent at 900 ms is answered without a limit at 1200 ms
    Then the target is limited to 2 requests per second
    When a request sent at 1300 ms is answered without a limit at 1400 ms
    Then the target is not limited

  Scenario: A failed request without a limit notice does not end the limit
    Given a target that announced a limit of 2 requests per second at 1000 ms
    When a request sent at 1300 ms fails without a limit at 1400 ms
    Then the target is limited to 2 requests per second

  Scenario: An unreadable limit notice is ignored
    Given a target that announced a limit of 2 requests per second at 1000 ms
    When a request sent at 1300 ms is answered with an unreadable limit at 1400 ms
    Then the target is limited to 2 requests per second

  Scenario: A limit ends with the incarnation of its target
    Given a target that announced a limit of 2 requests per second at 1000 ms
    When the incarnation of the target ends
    Then the target is not limited

  Scenario: A change is reported once
    Given a target that announced a limit of 2 requests per second at 1000 ms
    When a request sent at 1300 ms is answered with a limit of 2 at 1400 ms
    And a request sent at 1500 ms is answered with a limit of 0.5 at 1600 ms
    And a request sent at 1700 ms is answered without a limit at 1800 ms
    Then the reported changes are "2 0.5 none"

  Scenario Outline: A target that is gone is forgotten with time
    Given a target that announced a limit of 5 requests per second at 0 ms
    When 10000 ms pass and targets expire after <keepMs> ms, of which this one is <state>
    Then the target is <limited>

    Examples:
      | keepMs | state  | limited                            |
      | 12000  | gone   | limited to 5 requests per second   |
      | 9000   | listed | limited to 5 requests per second   |
      | 9000   | gone   | not limited                        |
