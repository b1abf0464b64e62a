Feature: Exchanges with targets go by way of another box while this box is cut off

  Background:
    Given a box that is cut off and the relays "r1 r2 r3"

  Scenario: A relayed exchange brings the request to the target and the response back unchanged
    When the box sends a request with a body of 200000 bytes
    And the target responds with "one", "two" and completes
    Then "r1" has sent the whole body once
    And the box has received "onetwo" and the end

  Scenario: A relay reads no more from the target than a slow caller takes
    When the box sends a request with a body of 0 bytes
    And the target is asked for 100 parts of 16384 bytes while the caller takes none
    Then the target has been read for at most 81920 bytes
    When the caller takes what arrives
    Then the target has been read for 1638400 bytes

  Scenario: A caller that leaves resets the connection between the relay and the target
    When the box sends a request with a body of 10 bytes
    And the caller leaves
    Then "r1" has reset its connection to the target

  Scenario: A request that was handed over to a relay that ends may have run
    When the box sends a request with a body of 10 bytes
    And the stream to "r1" breaks
    Then the exchange fails by "relay" and may have arrived
    And the relays were tried in the order "r1"

  Scenario: A request goes by another relay if the first one ends before it is ready
    Given "r1" connects to no target
    When the box sends a request with a body of 10 bytes
    And the stream to "r1" breaks
    And the target responds with "one", "two" and completes
    Then "r2" has sent the whole body once
    And the relays were tried in the order "r1 r2"

  Scenario: A request goes by another relay if the first one does not get ready in time
    Given "r1" connects to no target
    When the box sends a request with a body of 10 bytes
    And 600 ms pass for the boxes and relays
    And the target responds with "one", "two" and completes
    Then "r2" has sent the whole body once

  Scenario: At most two relays are tried, and the request has certainly not arrived
    Given "r1" is cut off as well
    And "r2" is cut off as well
    When the box sends a request with a body of 10 bytes
    Then the exchange fails by "no_path" and has not arrived
    And the relays were tried in the order "r1 r2"

  Scenario: A relay that finds itself cut off sends nothing and does not relay on
    Given "r1" connects to no target
    When the box sends a request with a body of 10 bytes
    And "r1" is found to be cut off
    And the target responds with "one", "two" and completes
    Then "r2" has sent the whole body once
    And the relays were tried in the order "r1 r2"

  # Guards against requests that a relay sends although it may be gone before they end.
  Scenario: A relay that begins to stop before a request is handed over does not send it
    Given the box hands no request over
    When the box sends a request with a body of 10 bytes
    And "r1" begins to stop
    And the box hands the request over
    And the target responds with "one", "two" and completes
    Then "r2" has sent the whole body once
    And "r1" has reset its connection to the target
    And the relays were tried in the order "r1 r2"

  Scenario: A target that the relay cannot connect to is told from a relay that fails
    Given connections of "r1" to the target are refused
    When the box sends a request with a body of 10 bytes
    Then the exchange fails by the target and has not arrived
    And the relays were tried in the order "r1"

  Scenario: A relay declines a target that must get no request
    Given "r1" knows the target as leaving
    When the box sends a request with a body of 10 bytes
    Then the exchange fails by "declined" and has not arrived

  Scenario: A connection that hangs when the box is found to be cut off is given up for a relay
    Given the box is not known to be cut off yet, and its connections hang
    When the box sends a request with a body of 10 bytes
    And the box is found to be cut off
    And the target responds with "one", "two" and completes
    Then the box has reset its own connection to the target
    And "r1" has sent the whole body once

  Scenario: A relay resets a target that waits for a request which is never handed over
    Given the box hands no request over
    When the box sends a request with a body of 10 bytes
    And 3000 ms pass for the boxes and relays
    Then "r1" has reset its connection to the target

  # Guards against crashes behind a relay that nobody notices, as the box itself does not reach the target.
  Scenario: A box learns from its relay whether the target of a lost response has crashed
    When the box sends a request with a body of 10 bytes
    And the target of "r1" crashes
    Then the exchange fails by the target and may have arrived
    And the box learns that the target has crashed

  Scenario: A box learns from its relay that only a connection was lost
    When the box sends a request with a body of 10 bytes
    And the target of "r1" resets the connection
    Then the exchange fails by the target and may have arrived
    And the box learns that the target still accepts connections
