Feature: The story of one request is told from the logs of several boxes

  Scenario: A request's own lines, its targets' changes and its box's beliefs, in the order of time
    Given the logs of two boxes in which "r1" was held for "m1", sent to "t1" and cut
    When the story of "r1" is told
    Then it reads "configurationInForce requestHeld moveEnded targetChosen targetGone sendEnded requestEnded"

  Scenario: Lines that are not ours are passed over
    Given the logs of two boxes in which "r1" was held for "m1", sent to "t1" and cut
    And a line "panic: something else"
    And a line "{broken"
    When the story of "r1" is told
    Then it reads "configurationInForce requestHeld moveEnded targetChosen targetGone sendEnded requestEnded"

  Scenario: A request that no line names has no story
    Given the logs of two boxes in which "r1" was held for "m1", sent to "t1" and cut
    When the story of "r2" is told
    Then it reads ""

  Scenario: A request over its account's limit is told with what its box knew of the limit
    Given the logs of two boxes in which "r1" of the account "a" was over its limit
    When the story of "r1" is told
    Then it reads "configurationInForce connectionChanged quotaAlone requestRejected"
