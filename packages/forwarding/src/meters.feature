Feature: What a box measures of its targets

  Scenario: One answer that was held up does not make a target look slow
    Given a target that reads a token in 0.025 ms
    When 20 answers come as expected
    And 1 answer comes 4000 ms late
    Then a prompt of 1000 tokens is expected to be read within 40 ms

  Scenario: A target that has turned slow is known to be
    Given a target that reads a token in 0.025 ms
    When 20 answers come as expected
    And 20 answers come 400 ms late
    Then a prompt of 1000 tokens is expected to be read after 100 ms or more

  Scenario: Pauses of streams are known while they are fresh
    When a target's streams wait 200 ms between events
    Then its recent pause is 200 ms
    When 500 ms have passed
    Then its recent pause is 0 ms
