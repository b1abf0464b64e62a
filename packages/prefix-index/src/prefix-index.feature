Feature: What an engine keeps of prompts is remembered by weights, in bounded memory

  Scenario: A prompt keeps its leading parts up to the first that differs
    Given an index of 10000 tokens that has seen "m: a:100 b:200 c:300"
    Then "m: a:100 b:200 d:50" is kept for 300 tokens
    And "m: b:200 a:100" is kept for 0 tokens

  Scenario: Parts are of use to the same weights only
    Given an index of 10000 tokens that has seen "m/x: a:100"
    Then "m/x: a:100" is kept for 100 tokens
    And "m: a:100" is kept for 0 tokens

  Scenario: Dropping a model forgets its adapters' prompts too
    Given an index of 10000 tokens that has seen "m/x: a:100"
    When the model "m" is dropped
    Then "m/x: a:100" is kept for 0 tokens

  Scenario: What was used longest ago gives way
    Given an index of 250 tokens that has seen "m: a:100"
    When "m: b:100" is seen
    And "m: a:100" is seen
    And "m: c:100" is seen
    Then "m: a:100" is kept for 100 tokens
    And "m: b:100" is kept for 0 tokens
