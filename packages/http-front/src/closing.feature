Feature: A front that closes answers the requests that have come

  # Guards against idle connections that are closed although a request has arrived on them and was not read yet.
  Scenario: A closing front answers what arrived during a long iteration of the event loop
    Given a front with 5 kept connections
    When a request arrives on each of them while the event loop is blocked for 300 ms, and the front closes then
    Then each of the 5 callers has a second answer

  # Guards against connections that look kept although the front is about to close them, under the next request.
  Scenario: The last answer of a closing front says that its connection closes
    Given a front with 1 kept connection
    When a request is being handled while the front closes
    Then the caller is told that the connection closes, and the front has closed within 2000 ms

  # Guards against a connection that is closed by the first of several answers that its caller waits for.
  Scenario: Requests that were sent ahead are answered by a closing front
    Given a front with 1 kept connection
    When 3 requests that were sent at once are being handled while the front closes
    Then the caller has 4 answers, the last of which says that the connection closes

  # Guards against connections that are closed without a word when the time to close is over.
  Scenario Outline: <request> gets an answer when the time to close is over
    Given a front with 1 kept connection
    When <request> is open while the front closes and 5200 ms pass
    Then the caller's second answer has status <status> and outcome "<outcome>"

    Examples:
      | request                          | status | outcome         |
      | a request that never ends        | 502    | outcome_unknown |
      | a request with half of its body  | 503    | not_run         |
