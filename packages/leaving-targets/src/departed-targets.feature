Feature: Departures of targets reach all boxes, and end when the targets return for certain

  Background:
    Given two boxes without departures of targets

  Scenario: A departure is sent to another box once
    When box 1 reads at offset 5 that "t1" has departed
    Then "t1" has departed for box 1
    And box 2 applies 1 departures of box 1, and none after that
    And "t1" has departed for box 2

  Scenario: A target that stays listed returns
    When box 1 reads at offset 5 that "t1" has departed
    And box 1 reads at offset 6 that "t1" is listed
    And 2000 ms pass with a settled list
    Then "t1" has departed for box 1
    When 300 ms pass with a settled list
    Then "t1" has not departed for box 1
    And box 2 applies 0 departures of box 1, and none after that

  Scenario: An entry read before the departure is no return
    When box 1 reads at offset 5 that "t1" has departed
    And box 1 reads at offset 4 that "t1" is listed
    And 9000 ms pass with a settled list
    Then "t1" has departed for box 1

  Scenario: Time in which the list is unsettled does not count as being listed
    When box 1 reads at offset 5 that "t1" has departed
    And box 1 reads at offset 6 that "t1" is listed
    And 9000 ms pass with an unsettled list
    Then "t1" has departed for box 1

  # Guards against boxes that put each other's targets out of use again and again.
  Scenario: A departure that another box tells late does not undo a return
    When box 1 reads at offset 5 that "t1" has departed
    And box 2 applies the departures of box 1
    And box 1 reads at offset 6 that "t1" is listed
    And 2300 ms pass with a settled list
    And box 1 applies the departures of box 2
    Then "t1" has not departed for box 1

  Scenario: A later departure counts although an earlier one has ended
    When box 1 reads at offset 5 that "t1" has departed
    And box 1 reads at offset 6 that "t1" is listed
    And 2300 ms pass with a settled list
    And box 1 reads at offset 7 that "t1" has departed
    Then "t1" has departed for box 1

  Scenario: A target that has missed as many heartbeats as make an entry lapse returns at once
    When box 1 reads at offset 5 that "t1" has departed after heartbeat 7
    And box 1 reads at offset 6 that "t1" is listed by heartbeat 10
    Then "t1" has not departed for box 1

  # Guards against late writes of targets that have left.
  Scenario: A target whose entry tells hardly more heartbeats than the last one has not returned yet
    When box 1 reads at offset 5 that "t1" has departed after heartbeat 7
    And box 1 reads at offset 6 that "t1" is listed by heartbeat 9
    Then "t1" has departed for box 1

  Scenario: A target returns at once for a box that was told of its departure
    When box 1 reads at offset 5 that "t1" has departed after heartbeat 7
    And box 2 applies the departures of box 1
    And box 2 reads at offset 6 that "t1" is listed by heartbeat 12
    Then "t1" has not departed for box 2
