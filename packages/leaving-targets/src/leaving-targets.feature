Feature: Boxes remember which targets have said in a response that they are leaving

  Background:
    Given two boxes without notices of leaving targets

  Scenario: A notice reaches another box once
    When box 1 hears from target "t1" of incarnation 1000 that it is leaving
    Then box 2 is sent 1 notice by box 1, and none after that
    And box 2 knows that "t1" of incarnation 1000 is leaving

  Scenario: A box that starts again is sent all notices
    When box 1 hears from target "t1" of incarnation 1000 that it is leaving
    And box 2 is sent the notices of box 1
    And box 2 starts again
    Then box 2 is sent 1 notice by box 1, and none after that

  Scenario: A notice does not apply to a later incarnation
    When box 1 hears from target "t1" of incarnation 1000 that it is leaving
    Then box 1 knows that "t1" of incarnation 2000 is staying

  # Guards against a notice of unknown incarnation that keeps a restarted target from being used.
  Scenario: A notice of an unknown incarnation ends when the target starts again
    When box 1 hears from target "t1" of an unknown incarnation that it is leaving
    Then box 1 knows that "t1" of incarnation 2000 is leaving
    When box 1 learns that "t1" has started as incarnation 3000
    Then box 1 knows that "t1" of incarnation 3000 is staying

  Scenario: An outdated notice of another box does not replace a newer one
    When box 1 hears from target "t1" of incarnation 1000 that it is leaving
    And box 2 hears from target "t1" of incarnation 2000 that it is leaving
    And box 2 is sent the notices of box 1
    Then box 2 knows that "t1" of incarnation 2000 is leaving

  Scenario: Notices of targets that are gone are dropped in time
    When box 1 hears from target "t1" of incarnation 1000 that it is leaving
    And 599 s pass without any target
    Then box 1 knows that "t1" of incarnation 1000 is leaving
    When 2 s pass without any target
    Then box 1 knows that "t1" of incarnation 1000 is staying

  Scenario: The number of notices is bounded
    When box 1 hears from 6000 targets that they are leaving
    Then box 2 is sent 5000 notices by box 1, and none after that
