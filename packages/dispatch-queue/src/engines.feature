Feature: Requests to engines go to the shortest prefill queue

  Engines with 64 slots that read 38 prompt tokens per ms.

  # Failure: an engine with few requests but a long prompt to read is taken for free.
  Scenario: Prompts that are not read yet count, not requests
    Given 2 engines
    When engine "t1" is granted a prompt of 7600 tokens
    And 3 prompts of 380 tokens are submitted for any engine
    Then the last 3 grants are for engine "t2"

  # Failure: the box that asks doesn't know what other boxes have sent there, and the prompt is read again elsewhere.
  Scenario: Prompt parts sent by other boxes count as read
    Given 2 engines
    When a prompt with the parts "a:3800 b:380" is submitted for engine "t2"
    And the last prompt has been read after 110 ms
    And a prompt with the parts "a:3800 c:38" is submitted for any engine
    Then the last 1 grants are for engine "t2"
    And the first event is expected within 10 ms

  # Failure: a stream is started that can't meet its objective, though its caller could ask later.
  Scenario: A stream is rejected if its first event is expected later than its objective
    Given 1 engines
    When engine "t1" is granted a prompt of 19000 tokens
    And a stream of 3800 tokens with an objective of 400 ms and 5000 ms left is submitted
    Then it is rejected, to be retried after 100 to 500 ms

  Scenario: A response that is not a stream may use its time left
    Given 1 engines
    When engine "t1" is granted a prompt of 19000 tokens
    And a response of 3800 tokens with an objective of 400 ms and 5000 ms left is submitted
    Then the last 1 grants are for engine "t1"

  # Failure: prompts that were read still count, and an idle engine gets no requests.
  Scenario: A prompt that was read makes room
    Given 1 engines
    When engine "t1" is granted a prompt of 19000 tokens
    And the last prompt has been read after 500 ms
    And a stream of 3800 tokens with an objective of 400 ms and 5000 ms left is submitted
    Then the last 1 grants are for engine "t1"

  # Failure: a request is rejected while its engine is idle, as its own prompt takes longer than its objective.
  Scenario: An idle engine takes a prompt that is longer than the objective allows
    Given 1 engines
    When a stream of 38000 tokens with an objective of 400 ms and 5000 ms left is submitted
    Then the last 1 grants are for engine "t1"

  # Load: twice the prefill capacity of four engines for 5 s. Failure: the first events of all streams are late, as each engine's
  # queue grows; or requests are rejected while engines have nothing to read.
  Scenario: At twice the prefill capacity, granted streams begin within their objective
    Given 4 engines
    When streams of 3800 tokens on average with an objective of 800 ms arrive at twice the capacity for 5 s
    Then 0.9 of the granted streams begin within their objective
    And the engines read during 0.9 of the time
