Feature: An exchange distinguishes complete responses from truncated ones

  Scenario: A response without a length that ends with a closed connection is complete
    Given a target that responds without a length and closes its connection
    When a request is sent there
    Then the response is complete with 4 bytes

  Scenario: A response without a length that ends with a reset is truncated
    Given a target that responds without a length and resets its connection at once
    When a request is sent there
    Then the exchange fails and the request may have arrived

  Scenario: A response shorter than its length is truncated
    Given a target that responds with less than its length and closes its connection
    When a request is sent there
    Then the exchange fails and the request may have arrived

  Scenario: A request to a port without a listener has not arrived
    Given a port without a listener
    When a request is sent there
    Then the exchange fails and the request has not arrived

  Scenario: A stopped target refuses connections, a target with a lost connection does not
    Given a target that responds without a length and resets its connection at once
    When a request is sent there
    Then the address listens
    When the target stops
    Then the address refuses

  Scenario: A second response on a connection is ignored
    Given a target that responds twice on one connection
    When a request is sent there
    Then the response is complete with 2 bytes

  Scenario: Aborting a request drops its unsent bytes
    Guards against a target receiving a request after its caller has left: closing the connection would still send the
    buffered bytes, a reset drops them.

    Given a target that delays reading
    When a request of 16 MB is sent there and aborted while it is being sent
    And the target reads the received bytes
    Then the target detects a connection reset
