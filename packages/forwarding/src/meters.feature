Feature: A box estimates the costs and stream gaps of its targets

  Scenario: A single late response does not change the estimate much
    Given a target with a prefill time of 0.025 ms per token
    When 20 answers come as expected
    And 1 answer comes 4000 ms late
    Then the expected prefill time of 1000 tokens is at most 40 ms

  Scenario: The estimate follows a target that has become slow
    Given a target with a prefill time of 0.025 ms per token
    When 20 answers come as expected
    And 20 answers come 400 ms late
    Then the expected prefill time of 1000 tokens is at least 100 ms

  Scenario: Stream gaps expire
    When the streams of a target have gaps of 200 ms
    Then its recent stream gap is 200 ms
    When 500 ms pass without an event
    Then its recent stream gap is 0 ms
