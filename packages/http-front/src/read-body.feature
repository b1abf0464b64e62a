Feature: A request that is broken off is not served

  Scenario Outline: A box's front serves no request that was broken off, <framing>, <end>
    Given a server that reads requests as a box's front does
    When a request framed by <framing> is broken off in its body, with "<end>"
    Then its body is not complete

    Examples:
      | framing | end                    |
      | length  | end                    |
      | length  | reset behind the bytes |
      | length  | later reset            |
      | chunked | end                    |
      | chunked | reset behind the bytes |
      | chunked | later reset            |
