Feature: The target with the earliest expected response is chosen

  Scenario: A target that has the prompt cached is preferred to an idle one
    Given a target "warm" with 2 in flight, 0 tokens queued and 500 uncached
    And a target "cold" with 0 in flight, 0 tokens queued and 9000 uncached
    Then target "warm" is chosen

  Scenario: A long queue outweighs a cached prompt
    Given a target "warm" with 20 in flight, 40000 tokens queued and 500 uncached
    And a target "cold" with 0 in flight, 0 tokens queued and 9000 uncached
    Then target "cold" is chosen

  Scenario: A target without a free slot is expected to respond after a running request completes
    Given a target "full" with 64 in flight, 0 tokens queued and 500 uncached
    And a target "free" with 60 in flight, 0 tokens queued and 500 uncached
    Then target "free" is chosen
    And "full" is expected to respond more than 10 ms later than "free"

  Scenario: A target whose streams have long gaps is avoided
    Given a target "held up" with 5 in flight, 0 tokens queued and 500 uncached
    And a target "even" with 9 in flight, 0 tokens queued and 500 uncached
    And the streams of target "held up" have gaps of 250 ms
    And the streams of target "even" have gaps of 40 ms
    Then target "even" is chosen

  Scenario: No target is chosen without candidates
    Then no target is chosen
