Feature: The timeline of a request is reconstructed from the logs of several boxes

  Scenario: The request's log lines, its targets' events and its box's state, in chronological order
    Given the logs of two boxes in which "r1" was held for "m1", sent to "t1" and aborted
    When the timeline of "r1" is reconstructed
    Then it consists of the events "configurationInForce requestHeld moveEnded targetChosen targetGone sendEnded requestEnded"

  Scenario: Lines of other programs and malformed lines are ignored
    Given the logs of two boxes in which "r1" was held for "m1", sent to "t1" and aborted
    And the log line "panic: something else"
    And the log line "{broken"
    When the timeline of "r1" is reconstructed
    Then it consists of the events "configurationInForce requestHeld moveEnded targetChosen targetGone sendEnded requestEnded"

  Scenario: The timeline of an unknown request is empty
    Given the logs of two boxes in which "r1" was held for "m1", sent to "t1" and aborted
    When the timeline of "r2" is reconstructed
    Then it consists of the events ""

  Scenario: The timeline of a request rejected by its account's quota contains the quota state of its box
    Given the logs of two boxes in which "r1" of the account "a" was rejected by its quota
    When the timeline of "r1" is reconstructed
    Then it consists of the events "configurationInForce connectionChanged quotaAlone requestRejected"
