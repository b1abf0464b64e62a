Feature: Every refusal is typed and says when to come back

  Scenario: Each code has its row in the operators' page
    Then docs/operators/refusals.md names every code with its status

  Scenario: A refusal that can be tried again names the time in the body and in Retry-After
    When a request is refused with a wait of 1200 ms
    Then the body says 1200 ms and the header 2 s
