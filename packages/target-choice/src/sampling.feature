Feature: A box that chooses alone with old load data does not send where all others send

  Scenario Outline: Old load data queue less with correcting weights than with other methods at <load>
    Given 60 boxes and 10 targets of 6 slots with responses of 100 ms
    When requests to the fleet arrive at <load> of the capacity for 60 s
    Then the 99th percentile of queueing by correcting weights is below <part> of that of the present method
    And it is below that of two choices and of spare capacity

    Examples:
      | load | part |
      | 0.5  | 0.33 |
      | 0.65 | 0.2  |
      | 0.75 | 0.15 |
      | 0.85 | 0.1  |
      | 0.95 | 0.15 |

  Scenario Outline: Sixty boxes with old load data queue little longer than with fresh loads at targets of <slots> slots
    Given 60 boxes and 10 targets of <slots> slots with responses of 100 ms
    When requests to the fleet arrive at <load> of the capacity for 30 s
    Then the 99th percentile of queueing by correcting weights is at most 1.5 of that with fresh loads

    Examples:
      | slots | load |
      | 64    | 0.65 |

  Scenario: Sixty boxes with old load data queue little longer than with fresh loads at small targets
    Given 60 boxes and 10 targets of 6 slots with responses of 100 ms
    When requests to the fleet arrive at 0.85 of the capacity for 30 s
    Then the 99th percentile of queueing by correcting weights is at most 1.5 of that with fresh loads

  Scenario: With fresh load data the earliest start is chosen
    Given a candidate "idle" with 0 in flight and 500 uncached tokens
    And a candidate "busy" with 4 in flight and 500 uncached tokens
    Then "idle" is always sampled with load data of 50 ms

  Scenario: With old load data a target with less spare capacity gets its part of the requests
    Given a candidate "idle" with 1 in flight and 500 uncached tokens
    And a candidate "busy" with 3 in flight and 500 uncached tokens
    Then "busy" is sampled for 0.4 to 0.49 of the requests with load data of 500 ms

  Scenario: With old load data a target that would have to read the prompt anew is not sampled
    Given a candidate "warm" with 3 in flight and 500 uncached tokens
    And a candidate "cold" with 0 in flight and 9000 uncached tokens
    Then "warm" is always sampled with load data of 500 ms
