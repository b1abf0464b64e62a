Feature: Boxes know at which software version streams began

  Background:
    Given 8 boxes whose targets are of the versions "v1 v2"

  Scenario: A stream is known at each box
    When box 1 begins 100 streams at version "v1"
    Then each box finds that they began at version "v1"

  Scenario: A stream is known while the box that began it and one of its keepers are down
    When box 1 begins 100 streams at version "v1"
    And boxes "1 2" are down
    Then each box finds that they began at version "v1"

  Scenario: A stream is known after two boxes have started again
    When box 1 begins 100 streams at version "v1"
    And boxes "2 3" have started again
    Then each box finds that they began at version "v1"

  Scenario: A stream is known after all boxes have stopped one by one and started again
    When box 1 begins 100 streams at version "v1"
    And all boxes have stopped one by one and started again
    Then each box finds that they began at version "v1"

  Scenario: A stream that only boxes which were killed knew is unknown
    When box 1 begins 100 streams at version "v1"
    And all boxes are killed at once and have started again
    Then each box finds that they are unknown, and all have answered

  Scenario: A stream is unknown for now if not all boxes that may know it have answered
    When boxes "5 6 7 8" are down, and this is not known yet
    Then some box finds that a stream is unknown, and not all have answered

  Scenario: A stream of another client account or service is unknown
    When box 1 begins 100 streams at version "v1"
    Then no stream of another account or service with these ids is known

  Scenario: A stream that targets of two versions are said to have begun is in doubt
    When box 1 begins 10 streams at version "v1"
    And box 2 begins the same streams at version "v2"
    Then box 4 finds that they are in doubt

  Scenario: The latest streams of a target that turns out to be another version are in doubt, earlier ones are not
    When box 1 begins 10 streams at version "v1"
    And 4000 ms have gone by
    Then box 2 finds that they began at version "v1" after the target of box 1 has become another version
    When box 1 begins 10 streams at version "v1"
    Then box 2 finds that they are in doubt after the target of box 1 has become another version

  # Guards against refusing the streams of each target that crashes.
  Scenario: The latest streams of a target that starts again with the same version are not in doubt
    When box 1 begins 10 streams at version "v1"
    Then box 2 finds that they began at version "v1" after the target of box 1 has started again with it

  Scenario: Streams are forgotten after a minute
    When box 1 begins 10 streams at version "v1"
    And 61000 ms have gone by
    Then each box finds that they are unknown, and all have answered

  # Guards against messages where they can't help: the only version is known without them.
  Scenario: No box is told of streams while one version serves
    Given 8 boxes whose targets are of the versions "v1"
    When box 1 begins 100 streams at version "v1"
    Then no message was sent
    When targets of version "v2" are added
    Then each box finds that they began at version "v1"

  Scenario: Boxes that hang do not hold up a stream while one version serves
    Given 8 boxes whose targets are of the versions "v1"
    When boxes "5 6 7 8" hang, and this is not known yet
    Then box 1 finds within 100 ms that a stream is unknown

  Scenario: Streams that begin together share messages
    When box 1 begins 100 streams at version "v1"
    Then at most 7 messages were sent
