Feature: The target that is expected to answer first is chosen

  Scenario: A target that keeps the prompt is worth more than an idle one
    Given a target "warm" with 2 in flight, 0 tokens queued and 500 unread
    And a target "cold" with 0 in flight, 0 tokens queued and 9000 unread
    Then the choice is "warm"

  Scenario: A long queue outweighs what is kept
    Given a target "warm" with 20 in flight, 40000 tokens queued and 500 unread
    And a target "cold" with 0 in flight, 0 tokens queued and 9000 unread
    Then the choice is "cold"

  Scenario: A target without a free place is expected to take as long as answers take to end
    Given a target "full" with 64 in flight, 0 tokens queued and 500 unread
    And a target "free" with 60 in flight, 0 tokens queued and 500 unread
    Then the choice is "free"
    And "full" is expected after more than 10 ms beyond "free"

  Scenario: A target whose streams are held up by other prompts is left to those
    Given a target "held up" with 5 in flight, 0 tokens queued and 500 unread
    And a target "even" with 9 in flight, 0 tokens queued and 500 unread
    And the streams of target "held up" wait 250 ms between events
    And the streams of target "even" wait 40 ms between events
    Then the choice is "even"

  Scenario: Without a target there is no choice
    Then there is no choice
