Feature: Prompts that go to one target are spread over time

  Background:
    Given streams that bear pauses of 250 ms

  Scenario: Prompts that fill little of a pause go at once, those beyond wait for their turn
    When 10 prompts of 40 ms are to go to a target of which this box has all requests
    Then the first 3 wait 0 ms
    And each of the others waits about 50 ms longer than the one before

  Scenario: A prompt that is longer than a pause goes where nothing is ahead of it
    When 1 prompts of 900 ms are to go to a target of which this box has all requests
    Then the first 1 wait 0 ms

  Scenario: A box that has few of the requests at a target takes few of its turns
    When 4 prompts of 20 ms are to go to a target of which this box has a quarter of the requests
    Then the first 1 wait 0 ms
    And each of the others waits about 100 ms longer than the one before

  Scenario: No turn is longer than what may go together
    When 3 prompts of 200 ms are to go to a target of which this box has a quarter of the requests
    Then the first 1 wait 0 ms
    And each of the others waits about 175 ms longer than the one before

  Scenario: Turns pass
    When 10 prompts of 40 ms are to go to a target of which this box has all requests
    And 1000 ms pass at the target
    When 1 prompts of 50 ms are to go to a target of which this box has all requests
    Then the first 1 wait 0 ms

  Scenario: A caller is told of a queue in which its stream would begin late
    Given an engine that holds "m1"
    And a stream that is due after 400 ms, is awaited for 2000 ms and may take 12000 ms
    And its events may be 250 ms apart
    And streams were held up there
    And the box has just sent 7 prompts of 100 ms to the engine
    When a caller asks for "m1"
    Then it is refused at once with 503, to come back after the queue

  Scenario: A stream that can wait for its turn is held, then sent
    Given an engine that holds "m1"
    And a stream that is due after 400 ms, is awaited for 2000 ms and may take 12000 ms
    And its events may be 250 ms apart
    And streams were held up there
    And the box has just sent 3 prompts of 100 ms to the engine
    When a caller asks for "m1"
    Then it is held for 100 ms
    And it is sent to the engine before 300 ms have passed

  Scenario: Where no stream was held up lately no turns are taken
    Given an engine that holds "m1"
    And a stream that is due after 400 ms, is awaited for 2000 ms and may take 12000 ms
    And its events may be 250 ms apart
    And the box has just sent 7 prompts of 100 ms to the engine
    When a caller asks for "m1"
    Then it is sent to the engine

  Scenario: A stream that waits for its turn is refused when its box begins to stop
    Given an engine that holds "m1"
    And a stream that is due after 400 ms, is awaited for 2000 ms and may take 12000 ms
    And its events may be 250 ms apart
    And streams were held up there
    And the box has just sent 3 prompts of 100 ms to the engine
    And the box takes nothing more after 100 ms
    When a caller asks for "m1"
    Then it is refused with 503 before 400 ms have passed
    And it was never sent to the engine
