Feature: Refusals have a status and a retry time

  Scenario: The operators' page documents every refusal code
    Then docs/operators/refusals.md lists every code with its status

  Scenario: A refusal reports its retry time in the body and in the Retry-After header
    When a request is refused with a retry time of 1200 ms
    Then the body has 1200 ms and the header 2 s
