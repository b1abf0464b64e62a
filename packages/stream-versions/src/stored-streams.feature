Feature: Streams are known after all boxes were killed at once

  Background:
    Given 8 boxes with a store whose targets are of the versions "v1 v2"

  # Guards against refusing all open streams after a loss of power.
  Scenario: Streams are known after all boxes were killed
    When box 1 begins 100 streams at version "v1"
    And 300 ms have gone by
    And all boxes are killed at once and have started again
    Then each box finds that they began at version "v1"

  Scenario: Streams are known after all boxes were killed twice
    When box 1 begins 100 streams at version "v1"
    And 300 ms have gone by
    And all boxes are killed at once and have started again
    And all boxes are killed at once and have started again
    Then each box finds that they began at version "v1"

  Scenario: Streams that began before a second version showed are known
    Given 8 boxes with a store whose targets are of the versions "v1"
    When box 1 begins 100 streams at version "v1"
    And targets of version "v2" are added
    And 300 ms have gone by
    And all boxes are killed at once and have started again
    Then each box finds that they began at version "v1"

  # Guards against streams that are lost with the box that was to record them.
  Scenario Outline: Streams are recorded while the first recorder <state>
    When the first recorder <state>
    And box 1 begins 100 streams at version "v1"
    And 300 ms have gone by
    And all boxes are killed at once and have started again
    Then each box that is up finds that they began at version "v1"

    Examples:
      | state                              |
      | is down, and this is not known yet |
      | is of an earlier version           |

  Scenario Outline: Streams are recorded when the store is back, if it <how>
    When the store <how>
    And box 1 begins 100 streams at version "v1"
    And 3000 ms have gone by
    And the store is back
    And 3000 ms have gone by
    And all boxes are killed at once and have started again
    Then each box finds that they began at version "v1"

    Examples:
      | how               |
      | is away           |
      | loses its answers |

  # Guards against records that a store has lost since.
  Scenario: Streams are recorded again when the store comes back from an older copy
    When box 1 begins 100 streams at version "v1"
    And 300 ms have gone by
    And each box has called the store
    And the store comes back from an older copy without these
    And each box has called the store
    And 300 ms have gone by
    And all boxes are killed at once and have started again
    Then each box finds that they began at version "v1"

  Scenario: Streams of a version that was in doubt stay in doubt
    When box 1 begins 10 streams at version "v1"
    And box 2 begins the same streams at version "v2"
    And 300 ms have gone by
    And all boxes are killed at once and have started again
    Then each box finds that they are in doubt

  # Guards against refusing for good what the store may know.
  Scenario: Streams are unknown for now while the store is away
    When box 1 begins 100 streams at version "v1"
    And 300 ms have gone by
    And all boxes are killed at once and have started again
    And the store is away
    Then each box finds that they are unknown for now

  Scenario: Streams whose records the store has dropped are unknown
    When box 1 begins 10 streams at version "v1"
    And 300 ms have gone by
    And the store drops its oldest records
    And all boxes are killed at once and have started again
    Then each box finds that they are unknown, and all have answered

  # Guards against writes that help nobody.
  Scenario: Streams that cannot be taken up are not recorded
    When box 1 begins 100 streams at version "v1" that cannot be taken up
    And 300 ms have gone by
    Then no record was written

  Scenario: Nothing is recorded while one version serves
    Given 8 boxes with a store whose targets are of the versions "v1"
    When box 1 begins 100 streams at version "v1"
    And 300 ms have gone by
    Then no record was written

  # Guards against writes that grow with the boxes or the streams: the store takes 400 a second from the smallest deployment.
  Scenario: Few records are written, whatever the number of streams
    When each box begins 50 streams a second at version "v1" for 10 s
    Then at most 165 records were written in 10 s

  # Guards against reads that grow with the requests of a caller that invents names of streams.
  Scenario: Look-ups of unknown streams share reads of the store
    Then 500 look-ups of unknown streams at box 1 in 2000 ms read the store at most 45 times
