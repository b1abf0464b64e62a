Feature: The prefix index estimates cached prompts by weights, in bounded memory

  Scenario: A prompt matches cached parts up to the first difference
    Given an index of 10000 tokens with the prompt "m: a:100 b:200 c:300"
    Then "m: a:100 b:200 d:50" has 300 cached tokens
    And "m: b:200 a:100" has 0 cached tokens

  Scenario: Cached parts match only the same weights
    Given an index of 10000 tokens with the prompt "m/x: a:100"
    Then "m/x: a:100" has 100 cached tokens
    And "m: a:100" has 0 cached tokens

  Scenario: Dropping a model also drops the prompts of its adapters
    Given an index of 10000 tokens with the prompt "m/x: a:100"
    When the model "m" is dropped
    Then "m/x: a:100" has 0 cached tokens

  Scenario: The least recently used prompt is evicted
    Given an index of 250 tokens with the prompt "m: a:100"
    When the prompt "m: b:100" is recorded
    And the prompt "m: a:100" is recorded
    And the prompt "m: c:100" is recorded
    Then "m: a:100" has 100 cached tokens
    And "m: b:100" has 0 cached tokens
