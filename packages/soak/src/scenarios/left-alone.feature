Feature: A target that turns a call away and says when to come back

  Scenario: A target that asked to be left alone gets calls before its time
    Given a deployment at rest
    And one target of the service asks to be left alone for 9 s
    When "dispatch" sends 40 calls of the service, at all boxes by turns
    Then that target got no more than one call from each box
    And every call was answered 200
