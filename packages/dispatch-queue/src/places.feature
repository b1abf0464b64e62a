Feature: Places at the targets of a plain service

  One target with 2 slots that takes 100 ms for a request, if nothing else is stated; objective 480 ms, deadline 2.4 s. The
  target gets a third request, which covers the delay of reports.

  # Failure: a place whose end is lost with its box is kept forever.
  Scenario: Places of a box that is gone are free
    Given a dispatcher of 1 target
    When 3 requests of box "b1" are submitted
    And 1 requests of box "b2" are submitted
    Then 3 requests are granted
    When box "b1" is gone
    Then the last grant is for box "b2"
    And 1 places are in use

  # Failure: a slot is lost for good with each end that is not reported.
  Scenario: A place expires with the deadline of its request
    Given a dispatcher of 1 target
    When 2 requests of box "b1" are submitted
    And 2600 ms pass at the dispatcher
    Then 2 places have expired
    And 0 places are in use

  # Failure: a slot is granted to a caller that has disconnected.
  Scenario: A withdrawn request is not granted
    Given a dispatcher of 1 target
    When 4 requests of box "b1" are submitted
    And the last request is withdrawn
    And the first request ends
    Then 3 requests are granted
    And 2 places are in use

  # Failure: a target that responds to nothing makes callers wait until their deadline is over.
  Scenario: Waiting requests are rejected before their deadline
    Given a dispatcher of 1 target
    When 4 requests of box "b1" are submitted
    And 2390 ms pass at the dispatcher
    Then 1 requests are rejected
    And 0 requests wait

  # Failure: a request that has waited elsewhere is rejected while targets are idle.
  Scenario: A request that is late already is served if there is room
    Given a dispatcher of 1 target
    When a request arrives with 1000 ms left, which is late by 500 ms
    Then 1 requests are granted

  # Failure: less work is done in time if late requests come before those that are not.
  Scenario: A late request yields to one that can meet its objective
    Given a dispatcher of 1 target
    When 3 requests of box "b1" are submitted
    And a request arrives with 1500 ms left, which is late by 100 ms
    And 1 requests of box "b2" are submitted
    And the first request ends
    Then the last grant is for box "b2"

  # Failure: a caller that has retried waits behind all that arrived meanwhile, and is late.
  Scenario: A caller that retries comes before new ones
    Given a dispatcher of 1 target
    When 3 requests of box "b1" are submitted
    And 1 requests of box "b2" are submitted
    And a request arrives with 2100 ms left, which is late by -250 ms
    And the first request ends
    Then the last grant is for box "retry"

  # Failure: a new dispatcher fills targets that are occupied by what another one has granted.
  Scenario: Loads granted by another dispatcher count until they fade
    Given a dispatcher of 1 target
    And it adopts 3 requests in flight
    When 1 requests of box "b1" are submitted
    Then 0 requests are granted
    When 500 ms pass at the dispatcher
    Then 1 requests are granted

  # Failure: callers that were rejected together retry together, and are rejected again.
  Scenario: Rejected callers retry one after the other, in the order of their arrival
    Given a dispatcher of 1 target
    When 30 requests of box "b1" are submitted
    Then the rejected ones retry at times that grow on average
    And no two of them retry within 1 ms

  # Failure: accounts, targets and boxes that appear once are remembered forever.
  Scenario: Memory stays bounded with ever new accounts
    Given a dispatcher of 1 target
    When 2000 requests of different accounts are submitted
    Then at most 64 accounts are in the summary
    And at most 1000 requests wait
