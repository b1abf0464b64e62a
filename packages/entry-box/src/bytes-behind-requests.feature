Feature: What a client sends behind a request does not answer it

  # Guards against 408 and 400 for requests that run: 408 promises that they never will.
  Scenario Outline: A request that takes longer than a head may is answered, with <bytes> behind it
    Given a front that answers after 2000 ms and rejects heads that take longer than 500 ms
    When a client sends 1 request at once, and <bytes> behind them
    Then its answers have the statuses "200", and its connection is <state>

    Examples:
      | bytes              | state       |
      | a part of a head   | still open  |
      | bytes that are none | closed     |

  # Guards against a late head that is late only since the box has not read on.
  Scenario: Requests that were sent at once are all answered, though each takes longer than a head may
    Given a front that answers after 1200 ms and rejects heads that take longer than 500 ms
    When a client sends 4 requests with 350 more bytes each at once
    Then its answers have the statuses "200 200 200 200", and its connection is still open

  # Guards against a last answer that closes a connection on which whole requests wait to be parsed.
  Scenario: Requests that were sent at once are all answered by a closing front
    Given a front that answers after 100 ms and closes connections behind their last answers
    When a client sends 6 requests with 350 more bytes each at once, all but the first for what is answered without delay
    Then its answers have the statuses "200 200 200 200 200 200", and its connection is closed
