Feature: A slow caller holds its target back

  Scenario Outline: A large <kind> to a caller that delays reading waits at the target
    Given a target that sends a <kind> of 6 MB
    When it is forwarded to a caller that starts to read after 300 ms
    Then the caller receives all of it
    And at most 1 listener waited for the caller, and Node.js gave no warning
    And at most 2 MB were buffered for the caller

    Examples:
      | kind         |
      | stream       |
      | plain answer |

  # Guards against large answers, which are forwarded before their end, reaching callers as complete when they are broken off.
  Scenario Outline: A plain answer beyond the buffer that is broken off is not complete, <framing>, <end>
    Given a target that breaks off a plain answer of 6 MB framed by <framing>, then "<end>"
    When it is forwarded to a caller that starts to read after <delay> ms
    Then the answer is lost, and its caller sees it

    Examples:
      | framing | end                    | delay |
      | close   | reset behind the bytes | 0     |
      | close   | reset behind the bytes | 300   |
      | close   | later reset            | 0     |
      | close   | later reset            | 300   |
      | length  | end                    | 0     |
      | length  | reset behind the bytes | 300   |
      | chunked | end                    | 300   |
      | chunked | reset behind the bytes | 0     |
