Feature: Boxes respect the retry-after header of a target

  Scenario: A box does not call a target again before its retry-after header expires
    Given an idle deployment
    And one target of the service rejects calls with a retry-after of 9 s
    When "dispatch" sends 40 calls of the service, at all boxes by turns
    Then that target received at most one call from each box
    And every call was answered with 200

  # Guards against calling targets in back-off because no other one is left.
  Scenario: Targets that all send a retry-after header are not called again before it expires
    Given an idle deployment
    And every target of the service rejects calls with a retry-after of 9 s
    When "dispatch" sends 40 calls of the service, at all boxes by turns
    Then each target received at most one call from each box
    And every call was refused with 503, and told to return when the first target accepts calls
