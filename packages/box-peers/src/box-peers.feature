Feature: Boxes track each other in deployments of any size

  Scenario: In a small deployment every box exchanges heartbeats with every other one
    Given 8 boxes of which one holds the order lease
    When 3000 ms pass for all boxes
    Then every box considers 7 others alive
    And every box has recent heartbeats from 7 others

  Scenario: Two boxes exchange only one heartbeat per round
    Given 8 boxes of which one holds the order lease
    When 6000 ms pass for all boxes
    Then a box sends less than 13 heartbeats per second

  Scenario: In a large deployment every box knows all others with few messages
    Given 60 boxes of which one holds the order lease
    When 6000 ms pass for all boxes
    Then every box considers 59 others alive
    And a box sends less than 10 heartbeats per second

  Scenario Outline: A box that knows another one only from a third box knows whether it relays
    Given <boxes> boxes of which one holds the order lease
    When 6000 ms pass for all boxes
    Then every box knows that only box 7 does not relay

    Examples:
      | boxes |
      | 8     |
      | 60    |

  Scenario: A stopped box is detected by all others
    Given 60 boxes of which one holds the order lease
    When 6000 ms pass for all boxes
    And box 7 stops
    And 3500 ms pass for all boxes
    Then every box considers 58 others alive

  Scenario: A box without callers sends fewer heartbeats, and its stop is still detected
    Given 60 boxes of which one holds the order lease
    When 6000 ms pass for all boxes
    And box 30 stops
    And 6000 ms pass for all boxes
    Then every box considers 58 others alive
    And box 20 has sent fewer heartbeats than box 5

  Scenario: Boxes remain known while the order lease moves to another box
    Given 60 boxes of which one holds the order lease
    When 6000 ms pass for all boxes
    And the lease holder stops
    And 2500 ms pass for all boxes
    Then every box considers at least 55 others alive
    When box 3 holds the order lease
    And 5000 ms pass for all boxes
    Then every box considers 58 others alive

  Scenario: Heartbeats received before a suspension of the machine expire
    Guards against a resumed box that acts on outdated heartbeats because a monotonic clock does not count the suspension.
    Given 5 boxes of which one holds the order lease
    When 3000 ms pass for all boxes
    Then every box has recent heartbeats from 4 others
    When all machines are suspended for 5000 ms
    Then every box has recent heartbeats from 0 others
    When 1000 ms pass for all boxes
    Then every box has recent heartbeats from 4 others

  Scenario: The round interval grows with the deployment
    Then with 7, 86 and 429 others a round of at least 400 ms and 4 ms per box takes 400, 400 and 1716 ms

  Scenario: Rounds go to readers that reach the store, and to two of them while the lease holder does not
    Given a holder and the readers "r1 r2 r3", of which "r2" cannot reach the store
    Then rounds 0 to 3 go to the holder and "r1", "r3", "r1", "r3"
    Given the holder cannot reach the store either
    Then rounds 0 to 3 go to the holder and "r1 r3", "r1 r3", "r1 r3", "r1 r3"
    Given no reader can reach the store
    Then rounds 0 to 2 go to the holder and "r1 r2", "r3 r1", "r2 r3"

  # Guards against connections that outlive their box.
  Scenario: A client that was closed opens no connection
    Given a client of other boxes that was closed
    Then a message to a box that listens is not sent
