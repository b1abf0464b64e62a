Feature: An exception in the handling of a response ends its request only

  # Each row guards against an exception that reaches the event loop, where it ends the process with all other requests.
  Scenario Outline: An exception <where> ends the attempt as lost
    Given a response to a <route> request
    When an exception is thrown <where>
    Then the attempt is lost with that exception, and its exchange, if there is one, is aborted

    Examples:
      | route     | where                              |
      | plain     | as its head is read                |
      | plain     | as its head is recorded            |
      | plain     | as a large body is passed on       |
      | streaming | as its first event is passed on    |
      | streaming | as a further event is passed on    |
      | streaming | as its end is recorded             |
      | plain     | before the request is written      |
      | plain     | as the exchange is opened          |
      | plain     | as its caller disconnects          |

  Scenario: An exception as the head of a stream is read ends the attempt as lost
    Given a response to a streaming request
    When an exception is thrown as its head is read
    Then the attempt is lost with that exception, and its exchange, if there is one, is aborted

  # Guards against a request that no exchange can be opened for taking sound targets out of use.
  Scenario: An exception as the exchange is opened is not the target's
    Given a response to a plain request
    When an exception is thrown as the exchange is opened
    Then the attempt names the box as its cause

  # Guards against a target whose responses cause exceptions staying in use.
  Scenario: An exception as the head of a response is read may be the target's
    Given a response to a plain request
    When an exception is thrown as its head is read
    Then the attempt names no other cause than the target
