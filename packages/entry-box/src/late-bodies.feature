Feature: A request whose body cannot be complete in time is rejected at once

  Background:
    Given a front whose requests have to be answered within 400 ms

  # Guards against callers that wait for a body to end though its request's time is over, and connections that stay open for good.
  Scenario Outline: A request whose body <comes> is rejected when its time is over
    When a caller sends a request whose body <comes>
    Then that caller gets status 408 after 350 to 1500 ms, and its connection is closed
    And the rejection is reported
    And a further caller gets status 200

    Examples:
      | comes                 |
      | stalls                |
      | comes byte by byte    |
      | stalls inside a chunk |

  Scenario: A body that is slow but in time is served
    When a caller sends a request whose body ends after 250 ms
    Then that caller gets status 200 after 200 to 1500 ms, and its connection is closed

  # Guards against callers that occupy a box with bytes that are no part of a body: chunks of one byte with long extensions.
  Scenario: A request whose chunks have extensions without end is rejected
    When a caller sends a request whose chunks have extensions without end
    Then that caller gets status 400 after 0 to 1500 ms, and its connection is closed
    And at most 8000000 bytes were taken from that caller
    And the rejection is reported
