Feature: The capacities of targets are learned from their response times

  Scenario: Targets of different speeds serve as if one queue knew the speeds
    Given targets with speeds 0.4, 1, 1.6, 1.6 and 6 slots each
    When requests arrive at 0.95 of the capacity for 20 s
    Then at least 0.9 of what a queue that knows the speeds serves within 480 ms is served within it

  Scenario: One target becomes five times slower for 4 s and recovers
    Given targets with speeds 1, 1, 1, 1 and 6 slots each
    And target "t1" is 5 times slower from 6 s to 10 s
    When requests arrive at 0.65 of the capacity for 16 s
    Then at least 0.93 of the requests from 6 s to 12 s are served within 480 ms
    And target "t1" looks slow 700 ms after 6 s
    And target "t1" no longer looks slow 1000 ms after 10 s

  Scenario: A target that is often slow for half a second is used in between
    Given targets with speeds 1, 1, 1, 1 and 6 slots each
    And target "t2" is 2.5 times slower for 600 ms of every 4000 ms
    When requests arrive at 0.65 of the capacity for 20 s
    Then at least 0.95 of the requests from 4 s to 20 s are served within 480 ms
    And target "t2" looks slow for at most 0.35 of the time from 4 s to 20 s

  Scenario: A slow observer marks no target slow
    Given targets with speeds 1, 1, 1, 1 and 6 slots each
    And observer 0 of 6 measures 300 ms more from 6 s to 12 s
    When requests arrive at 0.65 of the capacity for 16 s
    Then no target looks slow from 2 s to 16 s

  Scenario: A slow observer among three marks no target slow
    Given targets with speeds 1, 1, 1, 1 and 6 slots each
    And observer 0 of 3 measures 300 ms more from 6 s to 12 s
    When requests arrive at 0.65 of the capacity for 16 s
    Then no target looks slow from 2 s to 16 s

  Scenario: The only observer becomes slow and marks no target slow for long
    Given targets with speeds 1, 1, 1, 1 and 6 slots each
    And observer 0 of 1 measures 300 ms more from 6 s to 12 s
    When requests arrive at 0.65 of the capacity for 16 s
    Then target "t0" looks slow for at most 0.1 of the time from 2 s to 16 s
    And target "t1" looks slow for at most 0.1 of the time from 2 s to 16 s
    And target "t2" looks slow for at most 0.1 of the time from 2 s to 16 s
    And target "t3" looks slow for at most 0.1 of the time from 2 s to 16 s

  Scenario: A target whose speed halves beyond a concurrency of 3 is kept at 3
    Given targets with speeds 1, 1, 1, 1 and 6 slots each
    And the speed of target "t3" halves beyond a concurrency of 3
    When requests arrive at 0.7 of the capacity for 60 s
    Then the useful concurrency of target "t3" is 3 in 0.9 of the time from 40 s to 60 s, and never above 4
    And the useful concurrency of target "t0" is 6 in 0.9 of the time from 40 s to 60 s, and never above 6
