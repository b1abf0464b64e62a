Feature: The exit of a box ends the requests that are open

  # Guards against a promise that does not hold, and against accounts that pay for nothing or for which targets work for nothing.
  Scenario Outline: A request that <state> gets <status>, and the charge of its account is <charge>
    Given a forwarded request that <state>
    When it is cut as the box has to exit
    Then its caller gets <status> with the Retry-After "<retry>"
    And the charge of its account is <charge>

    Examples:
      | state                   | status | retry | charge   |
      | waits for a target      | 503    | 0     | refunded |
      | a target may be running | 502    |       | kept     |
      | a target may have run   | 502    |       | kept     |

  Scenario: A request whose caller has left gets no answer
    Given a forwarded request that a target may be running
    And its caller has left
    When it is cut as the box has to exit
    Then its caller gets nothing
