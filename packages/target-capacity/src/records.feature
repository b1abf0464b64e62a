Feature: Capacities are shared with other boxes, bounded and forgotten

  Scenario: A box that has observed nothing applies another box's records
    Given box "a" has observed target "slow" at 500 ms and four others at 100 ms
    When box "b" gets the records of box "a"
    Then box "b" knows target "slow" at a speed of 0.2 and expects 500 ms there
    And box "a" has no further records for it

  Scenario: Own recent observations are not replaced by records
    Given box "a" has observed target "slow" at 500 ms and four others at 100 ms
    And box "b" has observed target "slow" at 100 ms and four others at 100 ms
    When box "b" gets the records of box "a"
    Then box "b" knows target "slow" at a speed of 1 and expects 100 ms there

  Scenario: A box that has started again sends all of its records
    Given box "a" has observed target "slow" at 500 ms and four others at 100 ms
    Then box "a" sends all of its records to a box that has them up to sequence 1000

  Scenario: A change of a step is reported once
    Given box "a" has observed target "slow" at 500 ms and four others at 100 ms
    Then the last change that box "a" reported of target "slow" is a speed of 0.2
    And box "a" reports no change while durations stay

  Scenario: Nothing remains of a target's earlier incarnation
    Given box "a" has observed target "slow" at 500 ms and four others at 100 ms
    When box "a" forgets target "slow"
    Then box "a" knows target "slow" at a speed of 1 and expects 100 ms there

  Scenario: Rejections for want of room bound the concurrency, which then rises by one in 2 s
    Given box "a" has observed target "slow" at 100 ms and four others at 100 ms
    When target "slow" rejects a request at a concurrency of 4 at box "a"
    Then the useful concurrency of target "slow" at box "a" is 3, and 4 after 2 s

  Scenario: Work that has not ended shows that a target is slow
    Given box "a" has observed target "slow" at 100 ms and four others at 100 ms
    When 3 requests at target "slow" have been running for 400 ms at box "a"
    Then box "a" knows target "slow" at a speed below 0.3

  Scenario: Work that has not ended shows nothing while other work ends as expected
    Given box "a" has observed target "slow" at 100 ms and four others at 100 ms
    When 3 requests at target "slow" have been running for 400 ms at box "a" while others end after 100 ms
    Then box "a" knows target "slow" at a speed above 0.8

  Scenario: The costs of prompts have a fixed part and a part per token
    Given box "a" has observed prompts of 100 to 8000 tokens that took 40 ms and 0.03 ms per token
    Then box "a" expects 70 ms for 1000 tokens and 280 ms for 8000 tokens, within 5 %

  Scenario: Memory stays bounded as targets come and go
    When box "a" observes 12000 targets once each
    Then box "a" has records of at most 5000 targets
