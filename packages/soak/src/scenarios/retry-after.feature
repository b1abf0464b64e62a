Feature: Boxes respect the retry-after header of a target

  Scenario: A box does not call a target again before its retry-after header expires
    Given an idle deployment
    And one target of the service rejects calls with a retry-after of 9 s
    When "dispatch" sends 40 calls of the service, at all boxes by turns
    Then that target received at most one call from each box
    And every call was answered with 200
