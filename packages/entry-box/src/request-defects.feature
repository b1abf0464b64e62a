Feature: An exception in a request's handler ends that request only

  # Guards against one request's exception ending the box with all of its other requests.
  Scenario Outline: A handler that throws <when> gets its caller <outcome>
    Given a front whose handler throws for one path <when>
    When a caller asks for that path while 10 others wait for their responses
    Then that caller gets <outcome>, and the exception is reported
    And the others get their whole responses
    And no request remains open

    Examples:
      | when                       | outcome              |
      | before it responds         | status 500           |
      | after it began to respond  | a truncated response |
