Feature: A replica is chosen by what one box knows

  Scenario: Requests with the same prefix land together while load is even
    Given 8 idle candidates
    Then 100 choices by affinity for one key go to one target, and keys spread over all of them

  Scenario: Affinity gives way before its target is much busier than the others
    Then for any loads, the target chosen by affinity is within the slack of the least loaded

  Scenario: A key keeps its target when another target goes
    Given 8 idle candidates
    When one candidate goes that is not the key's
    Then the key's target is as before
